Feature: Processes are killed or stopped
  Whichever process ends, callers get a complete answer or a typed outcome.

  Scenario Outline: A process is killed while requests run
    When <process_name> is killed while requests run
    Then every request ended with a typed outcome
    And no answer differs from the expected one
    And no booking ran twice or was refused as not run although it ran
    And no process had an internal fault

    Examples:
      | process_name |
      | router-1     |
      | engine-1     |
      | bookings-1   |
      | log          |
      | instances    |

  Scenario: A router is stopped while streams are open
    When router-1 is asked to stop while requests run
    Then every request ended with a typed outcome
    And no answer differs from the expected one
    And no booking ran twice or was refused as not run although it ran
    And no process had an internal fault
    And every request was completed
    And stopping the router interrupted no request
    And router-1 exited by itself with status 0
