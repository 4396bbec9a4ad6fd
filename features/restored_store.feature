Feature: The store comes back from a copy that is some seconds old

  # A server's entry with a lower offset than the one known was ignored, so a server that left
  # after the restore still got requests.
  Scenario: A server that leaves after the restore gets no requests, at whatever offset
    Given the platform with 3 backend servers and 2 daemons
    When i-1 writes its entry 20 times more
    And the store is restored to the time before that
    And i-1 leaves
    Then i-1 gets no request later than 2 s after that, and the others do

  # Records that pass a reader's old position by hide those written before them.
  Scenario: What is written between the copy's end and a reader's old position is read
    Given the platform with 3 backend servers and 2 daemons
    When i-1 writes its entry 20 times more
    And the store is restored to the time before that
    And i-2 leaves and i-1 writes its entry 30 times more
    Then i-2 gets no request later than 2 s after that, and the others do

  # The entries by which a daemon that starts finds the others are written once, at their starts.
  Scenario: Daemons whose entries are gone are found again
    Given the platform with 2 backend servers and 2 daemons
    When the store is restored to the time before the daemons started
    And front-3 starts
    Then the other daemons know front-3 within 6 s

  Scenario: A daemon that starts serves the configuration that its peers have in force
    Given the platform with 2 backend servers and 2 daemons
    When version 12 with the prefix /new/ is written and served
    And the store is restored to the time before that
    And front-3 starts
    Then front-3 serves /new/x within 2 s

  Scenario Outline: An entry of a copy does not undo what is known of its server
    Given a daemon that knows i-1 by its write 9 at offset 60 of era 1, and i-2
    When <known> at offset 61 of era 1
    And the store's era is 2 and i-1 is read as written <copy> at offset <offset> of era 2
    Then after the restore work may go to <usable>

    Examples: what is known, what the copy or the server says
      | known                  | copy                       | offset | usable       |
      | i-1 leaves by write 10 | ready by write 9           | 40     | i-2          |
      | i-1 leaves by write 10 | ready by write 9           | 70     | i-2          |
      | the entry of i-1 goes  | ready by write 9           | 40     | i-2          |
      | the entry of i-1 goes  | ready by write 11          | 40     | i-1 and i-2  |
      | i-1 writes 10 again    | leaving by write 11        | 40     | i-2          |
      | i-1 writes 10 again    | leaving by write 11        | 61     | i-2          |
      | i-1 writes 10 again    | ready by write 3           | 20     | i-1 and i-2  |
      | i-1 leaves by write 10 | ready by a later run       | 40     | i-1 and i-2  |
      | i-1 leaves by write 10 | ready without a count      | 40     | i-1 and i-2  |

  # Daemons that had passed on an answer which said that its server leaves sent it requests again,
  # once the store came back from a copy that still had its entry (the second review, DRAIN).
  Scenario Outline: What a server said of its leaving outlives its entry, for that run
    Given a daemon that knows i-1 by its write 9 at offset 60 of era 1, and i-2
    When i-1 says in <source> that it leaves
    And the entry of i-1 goes at offset 61 of era 1
    And the store's era is 2 and i-1 is read as written <copy> at offset 40 of era 2
    Then after the restore work may go to <usable>

    Examples:
      | source               | copy                 | usable       |
      | an answer            | ready by write 11    | i-2          |
      | what a peer passes on | ready by write 11   | i-2          |
      | an answer            | ready by a later run | i-1 and i-2  |
      | no word              | ready by write 11    | i-1 and i-2  |

  # Updates leave out writes that change nothing; a copy held a later count than daemons knew that
  # don't read the store, which took it for news.
  Scenario Outline: A copy's entry of a removed server is news to no daemon, by <removal>
    Given two daemons that list i-1 by its write 1 up to position 9 of era 1
    When the first reads writes 2 to 7 of i-1, and then its removal by <removal>
    And the other gets its updates
    And both read write 6 of i-1 in a copy of era 2
    Then neither uses i-1
    When both read write 8 of i-1 in era 2
    Then both use i-1

    Examples:
      | removal   |
      | a record  |
      | a listing |

  Scenario: After the copy's entry the server's next write counts, whatever its offset was before
    Given a daemon that knows i-1 by its write 9 at offset 60 of era 1, and i-2
    When the store's era is 2 and i-1 is read as written ready by write 5 at offset 30 of era 2
    And i-1 is then read as written leaving by write 10 at offset 41 of era 2
    Then after the restore work may go to i-2
    When i-1 is then read as written ready by write 12 at offset 99 of era 1
    Then after the restore work may go to i-1 and i-2

  # Servers that registered after the copy was taken are missing until they write again.
  Scenario: Servers that the copy lacks are used for as long as they may take to write again
    Given a daemon that knows i-1 by its write 9 at offset 60 of era 1, and i-2
    When the store's era is 2 and only i-2 is listed up to offset 40
    Then after the restore work may go to i-1 and i-2
    When 2.3 s pass
    Then after the restore work may go to i-2
    When i-1 is then read as written ready by write 11 at offset 44 of era 2
    Then after the restore work may go to i-1 and i-2

  Scenario: A restore without an outage that a daemon noticed is logged once, with its source
    Given a daemon that knows i-1 by its write 9 at offset 60 of era 1, and i-2
    When a peer and the store name era 4
    Then the log says once that the store was restored, learned from the peer

  Scenario Outline: A reader whose position belongs to an earlier era lists all keys
    Given a reader that has read 5 records of a store in era 3
    When the store is restored to its first 3 records and <written>
    And the reader reads to the end
    Then it listed all keys and has read <keys>

    Examples: what was written since
      | written                | keys              |
      | nothing is written     | k-0, k-1, k-2     |
      | x is written           | k-0, k-1, k-2, x  |
      | x, y, z are written    | k-0, k-1, k-2, x, y, z |

  # A read may begin while an earlier one still waits for a page; servers of its first pages,
  # which the later listing had not reached, were removed.
  Scenario Outline: A listing that overlaps another one names all keys
    Given a store of 6 keys in pages of two
    When a listing begins and gets <pages> pages before another one, and their pages arrive <order>
    Then each listing names all 6 keys, and the position is 6

    Examples:
      | pages | order              |
      | 0     | in turn            |
      | 1     | in turn            |
      | 2     | in turn            |
      | 1     | the later's first  |
      | 2     | the later's first  |

  Scenario: A restore between two pages of a listing begins the listing again
    Given a reader of a store in era 3 with 5 records that has received the first page
    When the store is restored to its first 3 records and x is written
    And the rest of the answers arrive
    Then the reader listed twice and ends behind the 4 records of era 4

  Scenario: An answer of the era before that arrives late counts as failed
    Given a reader that has read 5 records of a store in era 3
    When a read is served, the store is restored twice, and a refusal of the new era comes first
    And the rest of the answers arrive
    Then the late answer ended with "the answer is older than a restore of the store"
    When the reader reads to the end
    Then it listed all keys and has read k-0, k-1, k-2

  Scenario: A store that names no era has one
    Given a reader that has read 5 records of a store in era 0
    When x is written to the store
    And the reader reads to the end
    Then it read only x

  # A reader in the new era sends its changes on to daemons that still stand in the old one.
  Scenario: An update that begins in one era and ends in the next leaves no gap
    Given two daemons that list i-1 and i-2 up to position 9 of era 1
    When the first reads i-3 at position 4 of a listing in era 2
    Then its update brings the other to the end of era 2 with i-3, and without a gap
    When an update of era 1 arrives at the other, and one of an earlier build that names no era
    Then neither counts as a read of the store
