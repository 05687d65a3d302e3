Feature: A partition between routers that heals
  Both sides go on serving, and join again without losing a change.

  Scenario: Two routers of five are cut off from the others and from the log
    When the two routers are cut off while requests run, and joined again
    Then every request at both sides was completed at its first try
    And every booking made after the healing ran once
    And each side took the other for unreachable
    And the change made meanwhile reached whoever could hear of it
    And it reached the others through their peers after the healing
    And no router ever went back to an earlier catalogue
    And all routers have the same catalogue in force
    And all follow one scheduler for each pool and take all others for live
    And no process had a fault of its own
