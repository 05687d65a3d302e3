Feature: What is refused as not run is not run

  Background:
    Given three routers that have read the claim log

  Scenario: The log is down
    When the log goes down
    And a caller asks router 0 for a new key
    And the append of router 0 fails
    Then the last attempt was refused as claim_log_unavailable
    When a caller asks router 0 for a new key
    Then the last attempt was refused as claim_log_unavailable

  Scenario: An append turns up in the log after its claim was given up
    When a caller asks router 0 for a new key
    And the append of router 0 is lost and still under way
    And 2 seconds pass
    Then the last attempt was refused as claim_log_unavailable
    When the late append takes effect
    And the log answers everything
    And all winners reach a target
    Then the request has run 0 times
    When the caller asks router 1 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time

  Scenario: No byte was handed over
    When a caller asks router 0 for a new key
    And the log answers everything
    And the target refuses the winner's connection
    And the winner's exchange ends
    Then the last attempt was told refused_not_run
    When the log answers everything
    And the caller asks router 1 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time

  Scenario: A byte was handed over and nothing came back
    When a caller asks router 0 for a new key
    And the log answers everything
    And all winners reach a target
    And the winner's exchange ends
    Then the last attempt was told outcome_unknown
    When the log answers everything
    And the caller asks router 1 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time

  Scenario: A late copy of a released claim does not hold the key
    When a caller asks router 0 for a new key
    And the append of router 0 takes effect and is still under way once more
    And the log answers everything
    And the winner's exchange ends
    And the log answers everything
    And router 0 restarts empty
    And the late append takes effect
    And the caller asks router 1 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time
