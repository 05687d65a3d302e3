Feature: Targets and routers leave the fleet
  A draining instance gets no new requests, and no request fails.

  Scenario: A target reports that it is draining, and is removed
    When engine-1 reports that it is draining, returns, and is removed
    Then engine-1 got no new request after its report was received
    And engine-1 got new requests after it had returned
    And engine-1 got no new request after it was removed
    And every request completed at the first attempt
    And no process had an internal fault

  Scenario: A target reveals that it is draining only by refusing a request
    When engine-1 refuses a request because it is draining
    Then engine-1 got a request before its refusal was received
    And engine-1 got no new request after its refusal was received
    And every request completed at the first attempt
    And no process had an internal fault

  Scenario: A router is drained after the instance list was down
    When the instance list goes down, comes back, and router-2 is drained
    Then the routers gave out the same addresses while the list was down
    And router-2 had open streams before the drain command succeeded
    And every request completed at the first attempt
    And router-2 exited by itself with status 0
    And no process had an internal fault
