Feature: A router starts while the log is down
  It serves with the catalogue of its peers. If its peers are down, too, it
  is not ready and refuses all requests.

  Scenario: One router starts without the log, another without log and peers
    When router-3 starts without the log, and router-4 without log and peers
    Then router-3 became ready with the catalogue in force at its peers
    And every idempotent request to router-3 completed at the first attempt
    And router-3 refused the request that needs the log as not run
    And router-4 was not ready and refused its request as not run
    And router-4 became ready when the log was available again
    And no process had an internal fault
