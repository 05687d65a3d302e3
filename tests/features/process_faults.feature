Feature: At most once, and the truth about it, between real processes
  Whatever stops, falls silent or dies: no booking runs twice, and what is
  told as not run has not run.

  Scenario Outline: Bookings in a fault
    When <fault>
    Then every request ended in a typed outcome
    And no answer is damaged
    And no booking ran twice, or ran although it was refused as not run
    And no booking runs twice when asked for again
    And no process had a fault of its own
    And the fault was felt: <effect>

    Examples:
      | fault                                    | effect                                            |
      | a router with claims is paused           | callers tried elsewhere and learned what they may |
      | the log refuses for a while              | bookings are refused meanwhile, and work later    |
      | the log is paused for a while            | bookings are refused meanwhile, and work later    |
      | the log loses answers to appends         | all bookings complete in the end                  |
      | connections to targets fall silent       | streams go on, bookings are of unknown outcome    |
      | an engine falls silent                   | streams end as of unknown outcome                 |
      | connections with callers fall silent     | callers get their answers by another connection   |
      | all routers die and start again empty    | callers tried elsewhere and learned what they may |
