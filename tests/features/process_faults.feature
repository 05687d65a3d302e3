Feature: Bookings run at most once despite process and connection faults
  Whichever process or connection fails, no booking runs twice, and a booking
  that is refused as not run has not run.

  Scenario Outline: Bookings in a fault
    When <fault>
    Then every request ended with a typed outcome
    And no answer differs from the expected one
    And no booking ran twice or was refused as not run although it ran
    And no booking runs twice when it is sent again
    And no process had an internal fault
    And the fault had this effect: <effect>

    Examples:
      | fault                                            | effect                                            |
      | a router with claims is paused                   | callers retried and all got an answer             |
      | the log refuses calls for a while                | bookings are refused meanwhile and complete later |
      | the log is paused for a while                    | bookings are refused meanwhile and complete later |
      | the log loses responses to appends               | all bookings complete in the end                  |
      | connections to targets go silent                 | streams complete, some bookings end as unknown    |
      | an engine goes silent                            | all requests end as unknown                       |
      | connections to callers go silent                 | callers get their answers on another connection   |
      | all routers are killed and restart without state | callers retried and all got an answer             |
