Feature: The complete path through separate processes

  Scenario: Callers of every daemon get their own complete answers
    Given a system of 3 daemons and 3 backend servers
    When 60 reads with bodies of up to 40000 bytes go through all daemons at once
    Then every answer is complete and belongs to its own request

  Scenario: A keyed write runs once and its repeat through another daemon gets the same answer
    Given a system of 3 daemons and 2 backend servers
    When a keyed write goes through entry-1 and is repeated through entry-2
    Then both answers are the same and the key ran once

  Scenario: A request that no route matches is refused as not run
    Given a system of 1 daemons and 1 backend servers
    When a read of "/nowhere" goes through entry-1
    Then it is refused with no_route and outcome not-run
