Feature: Start of a router while the log is down
  What peers know is enough to serve; without them a router says no.

  Scenario: A router starts without the log, and another without anybody
    When router-3 starts while the log is down, and router-4 without anybody
    Then router-3 became ready with the catalogue that its peers have in force
    And every idempotent request to router-3 was completed at its first try
    And router-3 refused as not run what needs the log
    And router-4 stayed not ready and refused as not run
    And router-4 became ready once the log was back
    And no process had a fault of its own
