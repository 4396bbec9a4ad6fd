Feature: Cold servers get at most what their service allows, over all daemons

  # Bound: in any second at most 1.5 times the limit and 8 requests, from all daemons together.
  Scenario: Random zones, limits, partitions, restarts, wrong views and lost messages
    When random schedules of daemons that send all that they may are run
    Then no cold server got more than the bound in any second of any of them

  Scenario Outline: Daemons whose views agree use the whole limit
    Given <zones> zones of <count> daemons that send cold servers all that they may, limit <limit>
    When 10 s go by for them
    Then cold servers got at least <share> in 100 of the limit, and never more than the bound

    Examples: zones, daemons and limits
      | zones | count | limit | share |
      | 1     | 1     | 5     | 90    |
      | 3     | 4     | 10    | 90    |
      | 5     | 2     | 3     | 90    |
      | 2     | 8     | 30    | 90    |

  Scenario Outline: The parts of all daemons never sum to more than the whole
    Given 3 zones of 4 daemons that send cold servers all that they may, limit 10
    When <trouble> and 5 s go by for them
    Then the parts of all daemons sum to <least> to 1

    Examples: troubles; one way: the owner hears all, and nobody hears it
      | trouble         | least |
      | nothing happens | 0.99  |
      | partition       | 0.3   |
      | isolate all     | 0.2   |
      | one way         | 0.7   |
      | restart all     | 0.99  |

  Scenario Outline: Cold servers are used under load, kept within the bound, and fully used once warm
    Given 3 zones of 4 daemons under <load> requests a second, with 6 servers of which 3 become cold
    When cold servers take <limit> requests a second, and <loss> in 100 datagrams are lost
    Then no cold server got more than the bound in any second
    And the cold servers got at least <share> in 100 of their limit
    And they get at least 30 in 100 of the requests once they are warm

    Examples: loads
      | load | limit | loss | share |
      | 60   | 4     | 0    | 50    |
      | 120  | 6     | 0    | 50    |
      | 120  | 12    | 10   | 50    |
      | 170  | 12    | 0    | 50    |

  Scenario Outline: The newest statement says whether a server is cold
    Given a daemon with a server of a service that limits cold servers to 5 a second for 60 s
    When it learns in this order about the cold: <statements>
    Then the server is then <state>

    Examples: entries, answers to probes, peers with the age of what they heard, heartbeats
      | statements                                     | state              |
      | entry 0                                        | warm               |
      | entry 10                                       | cold for 10 s      |
      | entry 900                                      | cold for 60 s      |
      | entry 10, entry again 20                       | cold for 20 s      |
      | entry 10, probe 3                              | cold for 3 s       |
      | entry 10, probe 0                              | warm               |
      | entry 10, probe none                           | cold for 10 s      |
      | probe 10, probe none                           | warm               |
      | probe 10, entry again 0                        | cold for 10 s      |
      | probe 0, entry again 30                        | warm               |
      | probe 0, pass 3, entry again 30                | cold for 30 s      |
      | probe 0, pass 3, probe 40                      | cold for 40 s      |
      | peer 20 of 0.1 s                               | cold for 20 s      |
      | probe 0, peer 20 of 0.1 s                      | warm               |
      | probe 0, pass 1, peer 20 of 0.1 s              | cold for 20 s      |
      | peer 20 of 0.1 s of another run                | warm               |
      | heartbeat 20                                   | cold for 20 s      |
      | probe 0, heartbeat 20                          | warm               |
      | entry 10, new run 0                            | warm               |
      | entry 0, new run 30                            | cold for 30 s      |

  Scenario Outline: What the platform writes is read, and nothing else
    Then of the platform <what> <value> is read as <read>

    Examples: headers and configurations
      | what              | value  | read |
      | Cold-Remaining-Ms | 1500   | 1.5  |
      | Cold-Remaining-Ms | 0      | 0    |
      | Cold-Remaining-Ms | -1     | none |
      | Cold-Remaining-Ms | soon   | none |
      | Cold-Remaining-Ms | absent | none |
      | cold-per-s        | 2.5    | 2.5  |
      | cold-per-s        | 0      | 0    |
      | cold-per-s        | absent | 0    |
      | cold-per-s        | -1     | none |

  Scenario: Real daemons keep a server that becomes cold within the bound
    Given the platform with 3 backend servers and 2 daemons
    And its service takes 4 requests a second of cold servers
    When 8 callers send requests without pause
    And i-1 is cold for 6 s, as its answers to probes say
    Then i-1 got at most 14 requests in any 1 s from 0.5 s after that until it is warm
    And cold i-1 got 6 requests or more in these 6 s
    And i-1 gets more than 4 requests in 1 s, and 20 in 100 of all, within 10 s after that
