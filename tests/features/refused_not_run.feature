Feature: A request that is refused as not run has not run

  Background:
    Given three routers that have read the claim log

  Scenario: The log is down
    When the log goes down
    And a caller sends a request with a new key to router 0
    And the append of router 0 fails
    Then the last attempt was refused as claim_log_unavailable
    When a caller sends a request with a new key to router 0
    Then the last attempt was refused as claim_log_unavailable

  Scenario: An append takes effect after its claim was abandoned
    When a caller sends a request with a new key to router 0
    And the append of router 0 fails but is still in flight
    And 2 seconds pass
    Then the last attempt was refused as claim_log_unavailable
    When the append in flight takes effect
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 0 times
    When the caller retries the request at router 1
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time

  Scenario: No byte of the request was sent to the target
    When a caller sends a request with a new key to router 0
    And all calls to the log complete
    And the target refuses the connection of the winning request
    And the winning request fails
    Then the last attempt ended as refused_not_run
    When all calls to the log complete
    And the caller retries the request at router 1
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time

  Scenario: Part of the request was sent to the target, which did not respond
    When a caller sends a request with a new key to router 0
    And all calls to the log complete
    And all winning requests are dispatched
    And the winning request fails
    Then the last attempt ended as outcome_unknown
    When all calls to the log complete
    And the caller retries the request at router 1
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time

  Scenario: A late copy of a released claim does not claim the key again
    When a caller sends a request with a new key to router 0
    And the append of router 0 takes effect and a copy is still in flight
    And all calls to the log complete
    And the winning request fails
    And all calls to the log complete
    And router 0 restarts without state
    And the append in flight takes effect
    And the caller retries the request at router 1
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time
