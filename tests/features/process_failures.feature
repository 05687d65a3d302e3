Feature: Death and planned stop of whole processes
  Callers get a whole answer or a typed outcome whatever process ends.

  Scenario Outline: A process dies while requests run
    When <victim> is killed while requests run
    Then every request ended in a typed outcome
    And no answer is damaged
    And no booking ran twice, or ran although it was refused as not run
    And no process had a fault of its own

    Examples:
      | victim     |
      | router-1   |
      | engine-1   |
      | bookings-1 |
      | log        |
      | instances  |

  Scenario: A router stops as planned while streams are open
    When router-1 is asked to stop while requests run
    Then every request ended in a typed outcome
    And no answer is damaged
    And no booking ran twice, or ran although it was refused as not run
    And no process had a fault of its own
    And every request was completed
    And the stop cut no request
    And router-1 ended by itself with status 0
