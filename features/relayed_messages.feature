Feature: A long message to many peers leaves by several links

  # 45 copies of an update with the entries of a start are 300 kB; the queue of a link of 5 Mbit/s
  # dropped 19 of them, and their receivers read the platform's store.
  Scenario: A long message is relayed, and each peer gets it once
    Given 45 peers and a message of 7000 bytes
    When its relays are planned 20 times
    Then each peer is named once each time, and no link carries more than 60000 bytes
    And the relays differ from time to time

  Scenario: A short message is sent to each peer
    Given 45 peers and a message of 300 bytes
    When its relays are planned 20 times
    Then no peer relays it

  Scenario: Daemons relay what they are asked to relay, once
    Given the datagram sockets of 5 daemons
    When the first sends all others an update of 20000 bytes that cannot be compressed
    Then each of the others receives it once

  Scenario: A message to relay that holds another one is not relayed
    Given the datagram sockets of 2 daemons
    When the first asks the second to relay a message to relay
    Then the second receives nothing and sends nothing
