Feature: An availability zone of many daemons stays in touch at a bounded cost

  # Heartbeats between all pairs took 250 datagrams a second in and out of each of 62 daemons.
  Scenario: Few pairs of daemons exchange each heartbeat, and owners stay where they are
    Given a zone of 62 daemons in which 3 in 100 heartbeats are lost, seed 11
    When 2 s go by, in which first heartbeats may be lost
    And 20 s go by
    Then at most 4 in 10 of the heartbeats of all pairs were sent
    And every living daemon names the same living owners, all the while

  Scenario: Owners that are killed at once are replaced at once in every daemon's view
    Given a zone of 62 daemons in which 0 in 100 heartbeats are lost, seed 12
    When 10 s go by
    And the owners and successors of all services are killed
    And 1.7 s go by
    Then every living daemon names the same living owners

  # Each of 62 daemons took itself for the owner for 1.4 s, and probed all backend servers.
  Scenario: Daemons that learn of the first backend servers at once agree on their owners
    Given a zone of 62 daemons that know no backend server
    When all learn of the first ones 0.21 s before the next heartbeat
    Then every living daemon names the same living owners
    And at most 6 daemons probe
    When 0.5 s go by
    Then every living daemon names the same living owners

  Scenario: A small zone exchanges every heartbeat
    Given a zone of 16 daemons in which 0 in 100 heartbeats are lost, seed 13
    When 5 s go by
    Then all of the heartbeats of all pairs were sent

  # A new reader claimed no history: 61 followers then read the store on their own, the last
  # of them 13 s later.
  Scenario: A follower that becomes the reader repeats what its peers may lack
    Given two daemons that follow a reader of the registry up to position 10
    When the first of them reads a removal at position 11 itself
    Then its update brings the other to position 12 without a gap, and without the server

  # After an outage, the first update claimed no history, so that all peers read the store at once.
  Scenario: The first update after an outage of the store leaves no gap
    Given two daemons that list the registry up to position 9
    When no update comes for 10 s, because the store is down
    And the first of them reads a server at position 9 itself
    Then its update brings the other to position 10 without a gap

  # All entries went to each peer for 3 s, and none where they exceed a datagram.
  Scenario: A daemon that has just listed the registry announces no entries as news
    Given a daemon that lists 100 entries
    Then its update holds no entries and claims no history

  Scenario: Removals that a new listing shows are repeated to peers
    Given two daemons that follow a reader of the registry up to position 10
    When the first of them lists the registry again and a server is missing
    Then its update brings the other to position 12 without a gap, and without the server

  # The 40th in rank waited 8.8 s, beyond every bound on draining.
  Scenario: A daemon of any rank reads in time when all readers are lost
    Given a daemon that ranks last of 62 in its zone
    When no update comes for 1.9 s, though all others are alive
    Then it orders a read of the registry

  Scenario: A daemon without history lets others read first
    Given a daemon that ranks first of a zone and has just started
    Then it does not order a read of the registry within 0.9 s of an update
    But it does so within 0.62 s after 3 s
