Feature: Targets and routers that leave
  What leaves gets no new work, and its callers do not notice.

  Scenario: A target says in its load report that it leaves, and is removed
    When engine-1 reports that it leaves, comes back, and is removed
    Then engine-1 got no new request after its report was read
    And engine-1 got new requests after it had come back
    And engine-1 got no new request after it was removed
    And every request was completed at its first try
    And no process had a fault of its own

  Scenario: A target says so in its answer to a request only
    When engine-1 answers that it leaves
    Then a request had been sent to it
    And engine-1 got no new request after its answer was taken in
    And every request was completed at its first try
    And no process had a fault of its own

  Scenario: A router is drained after the instance list was down
    When the instance list goes down, comes back, and router-2 is drained
    Then callers were given the same routers while the list was down
    And router-2 had open streams when it was told to drain
    And every request was completed at its first try
    And router-2 ended by itself with status 0
    And no process had a fault of its own
