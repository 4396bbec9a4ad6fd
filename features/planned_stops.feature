Feature: A planned stop cuts no request off

  Scenario: A daemon that is told to stop under load cuts no request off and hands its keys over
    Given a system of 3 daemons and 3 backend servers
    And an order that was confirmed through entry-1 for a key that entry-1 holds
    When entry-1 is told to stop while callers read and write through all daemons
    Then every caller got a complete answer or a refusal as not run
    And entry-1 ended by itself within 10 seconds
    And the order's key gets the same answer through entry-2 and ran once

  Scenario: All daemons are replaced one by one under load
    Given a system of 3 daemons and 3 backend servers
    And an order that was confirmed through entry-1 for a key that entry-1 holds
    When all daemons are stopped and started again one by one while callers read and write
    Then every caller got a complete answer or a refusal as not run
    And the order's key gets the same answer through entry-1 and ran once
    And the revision in force on every daemon is still the newest

  Scenario: A long request in progress outlives the order to stop
    Given a system of 2 daemons and 2 backend servers
    When entry-1 is told to stop while a write of 4000 ms is in progress
    Then the write gets a complete answer and entry-1 ended after it

  # Responses that were still in the process were cut off 1.9 s before the limit.
  Scenario: A stop waits until slow callers have their responses
    Given a system of 1 daemons and 2 backend servers whose daemons stop within 6 seconds
    When entry-1 is told to stop while 3 callers read 1300000 bytes in 4 seconds
    Then each of them got every byte
    And entry-1 ended by itself within 6 seconds

  Scenario: The checks detect a daemon that does not wait for requests in progress
    Given a system of 1 daemons and 2 backend servers whose daemons stop within 0 seconds
    When entry-1 is told to stop while a write of 3000 ms is in progress
    Then the write got no answer of its server, only that its outcome is unknown

  Scenario: The balancer still sends while a daemon begins to stop
    Given a system of 2 daemons and 2 backend servers
    When entry-1 is told to stop and callers still connect to it for 1 second
    Then every caller got a complete answer or a refusal as not run
    And no caller was refused

  Scenario: A configuration change in the middle of a stop cuts no request off
    Given a system of 2 daemons and 3 backend servers
    When entry-1 is told to stop while a configuration drains server-1 under load
    Then every caller got a complete answer or a refusal as not run
    And entry-1 ended by itself within 10 seconds

  Scenario: A daemon that stops while the log is down ends within its limit and cuts no request off
    Given a system of 2 daemons and 2 backend servers whose daemons stop within 4 seconds
    When the log goes down and entry-1 is told to stop while callers read
    Then every caller got a complete answer or a refusal as not run
    And entry-1 ended by itself within 8 seconds
