Feature: The work of probing stays within the operator's budget in every second

  Scenario: Probes stay within the budget while daemons are frozen, killed and replaced
    Given a system of 4 daemons and 6 backend servers with a measuring share of 0.002
    When every backend server reports that it is leaving, so that all are probed
    And the daemon that probes is frozen for 3 seconds
    And one daemon is killed and listed as gone and a new one is started
    And 4 seconds pass
    Then no second had more probe work than the budget over all backend servers
    And probing continued

  Scenario: A budget of zero means no probes
    Given a system of 2 daemons and 2 backend servers with a measuring share of 0
    When every backend server reports that it is leaving, so that all are probed
    And 4 seconds pass
    Then no backend server was probed

  Scenario: Random schedules of freezes, takeovers and late timers keep the budget
    Given 40 random schedules of probing by 3 daemons
    When the schedules are run on the decision core
    Then no second of any schedule had more probe work than the budget

  Scenario: The checks detect probes without a lease
    Given 5 random schedules of probing by 3 daemons without the lease
    When the schedules are run on the decision core
    Then some second had more probe work than the budget
