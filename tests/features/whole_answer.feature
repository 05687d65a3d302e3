Feature: Every caller receives the complete answer to its own request

  Background:
    Given the answer "réponse entière" in pieces of 4 characters

  Scenario: Pieces of another answer and repeated pieces are dropped
    When piece 0 arrives
    And piece 0 of another answer arrives
    And piece 0 arrives
    And pieces 1 to 3 arrive
    And the end mark of another answer arrives
    Then the answer is not complete
    When the end mark arrives
    Then the forwarded answer is complete and unchanged

  Scenario: A piece is missing until the stream is resumed
    When piece 0 arrives
    And pieces 2 to 3 arrive
    And the end mark arrives
    Then the answer is not complete
    And the answer can be resumed
    When pieces 1 to 3 arrive
    And the end mark arrives
    Then the forwarded answer is complete and unchanged

  Scenario: A resumed stream carries different text
    When pieces 0 to 2 arrive
    And a different piece 3 arrives
    And the end mark arrives
    Then the answer is not complete
    And the answer cannot be resumed
