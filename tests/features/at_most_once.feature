Feature: A non-idempotent request runs at most once

  Background:
    Given three routers that have read the claim log

  Scenario: Two routers get the same key at the same time
    When a caller sends a request with a new key to router 0
    And the caller retries the request at router 1
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time
    And router 1 knows the claim of the key

  Scenario: The response to an append that took effect is lost
    When a caller sends a request with a new key to router 0
    And the append of router 0 takes effect but its response is lost
    And all calls to the log complete
    And all winning requests are dispatched
    And the caller retries the request at router 1
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time

  Scenario: The winner is paused while the caller retries at another router
    When a caller sends a request with a new key to router 0
    And all calls to the log complete
    And router 0 is paused
    And the caller retries the request at router 1
    And all calls to the log complete
    And router 0 resumes
    And all winning requests are dispatched
    Then the request ran 1 time

  Scenario: The winner restarts without state after the dispatch
    When a caller sends a request with a new key to router 0
    And all calls to the log complete
    And all winning requests are dispatched
    And router 0 restarts without state
    And the caller retries the request at router 0
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time

  Scenario: A request is retried after its claim has expired from the log
    When a caller sends a request with a new key to router 0
    And all calls to the log complete
    And all winning requests are dispatched
    And 4000 seconds pass
    And router 0 restarts without state
    And all calls to the log complete
    And the caller retries the request at router 0
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time
    And the last attempt was refused as key_too_old

  Scenario: The log drops records before its retention time has passed
    When router 1 is paused
    And a caller sends a request with a new key to router 0
    And all calls to the log complete
    And all winning requests are dispatched
    And the log keeps records for only 100 seconds
    And 200 seconds pass
    And router 1 resumes
    And all calls to the log complete
    And the caller retries the request at router 1
    And all calls to the log complete
    And all winning requests are dispatched
    Then the request ran 1 time
    And the last attempt was refused as key_too_old
