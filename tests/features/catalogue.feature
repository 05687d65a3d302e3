Feature: An accepted catalogue change is in force at all routers within seconds

  An accepted change is never reverted, even if the platform's log or individual
  routers fail.

  Background:
    Given a log that keeps records for 600 seconds
    And the routers north and south
    And class gold was created with weight 1

  Scenario: A change reaches all routers
    When the weight of gold is changed to 2
    Then within 1 seconds gold has weight 2 at north, south

  Scenario: A router cannot connect to the log
    Given north is cut off from the log
    When the weight of gold is changed to 2
    Then within 5 seconds gold has weight 2 at north, south

  Scenario: The log does not respond to a router
    Given the log does not respond to north
    When the weight of gold is changed to 2
    Then within 5 seconds gold has weight 2 at north, south

  Scenario: A router starts while the log is down
    Given the log is down
    When the router west starts
    Then within 5 seconds gold has weight 1 at west

  Scenario: A router starts after records have expired
    Given 3000 seconds pass
    When the router west starts
    Then within 5 seconds gold has weight 1 at west
    And any two snapshots in the log are more than 60 seconds apart

  Scenario: All routers restart after records have expired
    Given 3000 seconds pass
    When the routers north and south restart
    Then within 5 seconds gold has weight 1 at north, south

  Scenario: A router that stopped reading appends a stale snapshot
    Given north has stopped reading the log
    And the weight of gold is changed to 2
    When north appends its snapshot
    And the router west starts
    Then within 5 seconds gold has weight 2 at south, west

  Scenario: Two operators make conflicting changes
    When two operators change the weight of gold to 2 and 3 at once
    Then within 1 seconds gold has weight 2 at north, south
    And all routers rejected the second change
