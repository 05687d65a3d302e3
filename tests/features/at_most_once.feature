Feature: A non-idempotent request runs at most once

  Background:
    Given three routers that have read the claim log

  Scenario: The same key at two routers at once
    When a caller asks router 0 for a new key
    And the caller asks router 1 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time
    And router 1 knows that the key is held

  Scenario: The append's answer is lost after it took effect
    When a caller asks router 0 for a new key
    And the append of router 0 takes effect but its answer is lost
    And the log answers everything
    And all winners reach a target
    And the caller asks router 1 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time

  Scenario: The winner is paused while the caller tries elsewhere
    When a caller asks router 0 for a new key
    And the log answers everything
    And router 0 is paused
    And the caller asks router 1 for the key again
    And the log answers everything
    And router 0 goes on
    And all winners reach a target
    Then the request has run 1 time

  Scenario: The winner restarts empty after it reached a target
    When a caller asks router 0 for a new key
    And the log answers everything
    And all winners reach a target
    And router 0 restarts empty
    And the caller asks router 0 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time

  Scenario: The key comes again after its claim has expired from the log
    When a caller asks router 0 for a new key
    And the log answers everything
    And all winners reach a target
    And 4000 seconds pass
    And router 0 restarts empty
    And the log answers everything
    And the caller asks router 0 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time
    And the last attempt was refused as key_too_old

  Scenario: The log drops records earlier than agreed
    When router 1 is paused
    And a caller asks router 0 for a new key
    And the log answers everything
    And all winners reach a target
    And the log keeps records for only 100 seconds
    And 200 seconds pass
    And router 1 goes on
    And the log answers everything
    And the caller asks router 1 for the key again
    And the log answers everything
    And all winners reach a target
    Then the request has run 1 time
    And the last attempt was refused as key_too_old
