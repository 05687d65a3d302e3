Feature: A network partition between routers
  Both sides keep serving. When it heals, no change is lost.

  Scenario: Two routers of five are cut off from the others, and three from the log
    Router-3, on the majority side, loses only the log.

    When two routers are cut off while requests run, and reconnected
    Then every request on both sides completed at the first attempt
    And every booking made after the partition healed ran once
    And each side considered the other unreachable
    And a change made during the partition reached only the majority
    And exactly the routers without the log got it from their peers
    And no router ever reverted to an earlier catalogue
    And all routers have the same catalogue in force
    And all routers use the same scheduler for each pool and see all peers live
    And no process had an internal fault
