Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators race and exactly one wins
    Given a system of 3 daemons and 1 backend servers
    When 6 operators publish at the same moment
    Then exactly one was accepted for each revision and the others lost the race
    And every daemon has the last accepted configuration in force within 5 seconds

  Scenario: An answer to a publication is lost after it took effect
    Given a system of 2 daemons and 1 backend servers
    When the log loses the next answer and an operator publishes
    Then it is reported as accepted and the revision rose by one
    And every daemon has the last accepted configuration in force within 5 seconds

  Scenario: The log goes down in the middle of a publication
    Given a system of 2 daemons and 1 backend servers
    When the log goes down for 2 seconds as an operator publishes
    Then it is reported as accepted and the revision rose by one
    And every daemon has the last accepted configuration in force within 5 seconds

  Scenario: Retention passed before a new VM starts
    Given a system of 2 daemons and 1 backend servers
    When the log keeps records for 3 seconds, 5 seconds pass and entry-3 starts
    Then entry-3 has the newest configuration in force within 5 seconds
    And a further publication is accepted and in force everywhere within 5 seconds

  Scenario: A VM starts while the log is down and gets the configuration from its peers
    Given a system of 2 daemons and 1 backend servers
    When the log goes down and entry-3 starts
    Then entry-3 has the newest configuration in force within 5 seconds
    And a read through entry-3 is answered

  Scenario: An old record is appended again
    Given a system of 2 daemons and 1 backend servers
    When two more configurations are published and the first record is appended again
    Then every daemon keeps the newest configuration for 2 seconds

  Scenario: A daemon is frozen across two changes
    Given a system of 2 daemons and 1 backend servers
    When entry-2 is frozen, two more configurations are published and it is thawed
    Then every daemon has the last accepted configuration in force within 5 seconds

  Scenario: A daemon is frozen across two changes and longer than the retention
    Given a system of 2 daemons and 1 backend servers
    When the log keeps records for 2 seconds, entry-2 is frozen for two changes and 4 seconds
    Then every daemon has the last accepted configuration in force within 5 seconds

  Scenario: Readers that read part of the log never return to an older revision
    Given 2000 random histories of publications, republications and retention
    When readers follow them with gaps, restarts and peers
    Then no reader ever had an older or a losing configuration after a newer one

  Scenario: A reader that accepts the last record it reads is detected
    Given 200 random histories read by readers that accept the last record
    When readers follow them with gaps, restarts and peers
    Then some reader had an older or a losing configuration
