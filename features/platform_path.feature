Feature: The platform's path through separate processes

  Scenario: A request is served, and the daemon's log lines carry its id
    Given the platform with 3 backend servers and 2 daemons
    When a request goes through front-1
    Then a registered backend server ran it once
    And the log of front-1 shows where it was sent and how it ended

  Scenario: Configurations come into force everywhere, broken and older ones change nothing
    Given the platform with 2 backend servers and 2 daemons
    When version 12 with the prefix /new/ is written
    Then both daemons serve /new/x within 2 seconds
    When bytes that are not a configuration are written
    And version 11 with the prefix /old/ is written
    And 1 seconds go by
    Then both daemons still serve /new/x and answer /old/x with 404

  Scenario: The store is down and then forgets its history
    Given the platform with 2 backend servers and 2 daemons
    When the store is down for 3 seconds
    Then requests were served all the while
    When the store forgets its history and version 20 with the prefix /later/ is written
    Then both daemons serve /later/x within 4 seconds

  # A read that waits for a configuration was noticed as lost only after its whole wait, and
  # so was the one that followed it into the outage: for up to 6.6 s nobody asked the store.
  Scenario Outline: A configuration written after a silent outage of the store is in force in time
    Given the platform with 2 backend servers and 2 daemons
    When version 12 with the prefix /new/ is written
    Then both daemons serve /new/x within 2 seconds
    When the store answers no call for <outage> seconds
    And version 13 with the prefix /later/ is written
    Then both daemons serve /later/x within 3 seconds

    Examples: outages that end while the first and the second read wait
      | outage |
      | 2.5    |
      | 8.5    |

  Scenario: A backend server that leaves gets no new work
    Given the platform with 3 backend servers and 2 daemons
    When i-1 reports that it is leaving
    And 2 seconds go by
    Then i-1 runs none of 40 requests

  # An entry that another writer left ended the daemons that read it, again after each start.
  Scenario Outline: An odd entry among those of the backend servers changes nothing
    Given the platform with 3 backend servers and 2 daemons
    When another writer leaves an entry with <what>
    And 10 requests go through each daemon
    Then all were answered by a backend server
    When i-1 reports that it is leaving
    And 2 seconds go by
    Then i-1 runs none of 20 requests
    When front-1 is started again
    Then a request through front-1 is served and both daemons still run

    Examples: entries
      | what                        |
      | very deep nesting           |
      | a number of slots too large |
      | a start too far away        |
      | a time too long             |
      | a port out of range         |
      | no port                     |
      | a name for an address       |
      | bytes that are no text      |

  # A daemon that starts stopped at the first address that no socket takes, and greeted none of
  # those behind it.
  Scenario Outline: An odd entry among those of the daemons hides none of the others
    Given the platform with 2 backend servers and 2 daemons
    When another writer leaves the address <address> among those of the daemons
    And front-3 starts
    Then the other daemons know front-3 within 3 s

    Examples: addresses
      | address         |
      | 127.0.0.1:99999 |
      | somewhere       |
      | 127.0.0.1:x     |

  Scenario: A daemon without a configuration refuses requests and is not ready
    Given the platform with 1 backend servers and no configuration
    When front-1 starts
    Then a request through front-1 is answered 503 and front-1 is not ready

  Scenario: A planned stop answers what is in progress and ends by itself
    Given the platform with 2 backend servers and 2 daemons
    When front-1 is told to stop while requests go through it
    Then every request was answered by a backend server and front-1 ended within its limit

  # What waited for a slot when the process ended got no answer, not even that it had not run
  # (review/6).
  Scenario Outline: Requests that wait for a slot are served or refused, none is dropped, on <signals>
    Given the platform with 1 backend servers and 2 daemons
    When 24 writes of 1000 ms with 20 s of time arrive at front-1, which gets <signals>
    Then each is answered 200, or 503 while front-1 still runs, and no refused one ran

    Examples:
      | signals                  |
      | SIGTERM                  |
      | SIGHUP, SIGTERM, SIGTERM |

  # A request that took until late in the stop to arrive was passed on, and cut off without an
  # answer when the process ended, though it may not be sent again.
  Scenario: A request that is complete too late in a planned stop is refused, not cut off
    Given the platform with 2 backend servers and 2 daemons
    When a write of 1500 ms begins to arrive at front-1, which is told to stop
    And the rest of the write arrives 4.2 s later
    Then the write is answered 503 and no backend server ran it

  Scenario: A request that can still be answered in a planned stop is served
    Given the platform with 2 backend servers and 2 daemons
    When a write of 200 ms begins to arrive at front-1, which is told to stop
    And the rest of the write arrives 1 s later
    Then the write is answered 200

  Scenario: Invalid settings end the start with an error that names the file, the key and the value
    Given the platform with 1 backend servers and no configuration
    When front-1 starts with a broken address
    Then it ends and names the file, the key and the value

  Scenario: Requests that arrive while a daemon starts are served, not refused
    Given the platform with 2 backend servers and 2 daemons
    When front-1 is killed and started again with a slow store while requests arrive without pause
    Then each request that front-1 accepted was answered by a backend server

  Scenario: An address that is in use is named
    Given the platform with 1 backend servers and no configuration
    When front-1 starts while an outgoing connection holds its port
    Then it ends and names the address that is in use

  Scenario: A daemon that starts while the store is down serves with what its peers have
    Given the platform with 2 backend servers and 2 daemons
    When the store goes down and front-1 is killed and started again
    Then front-1 serves within 2 s while the store is down
