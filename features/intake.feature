Feature: Decisions on clients that nobody controls

  # Heads of legal size were held at 25 times their bytes, and those over the limit were parsed
  # up to 64 kB. A legal one must still be taken, however it arrives.
  Scenario Outline: <what> in pieces of <size> give <status>
    Given limits of 1024 bytes, 64 lines and 8 empty lines
    When <what> arrive in pieces of <size>
    Then the reader says <status>

    Examples:
      | what                          | size  | status  |
      | fields of 1024 bytes          | 1     | nothing |
      | fields of 1024 bytes          | 65536 | nothing |
      | fields of 1040 bytes          | 100   | 431     |
      | fields of 1040 bytes          | 65536 | 431     |
      | a target of 1000 bytes        | 7     | nothing |
      | a target of 1030 bytes        | 65536 | 431     |
      | a target without end          | 100   | 431     |
      | a name without end            | 65536 | 431     |
      | 62 further lines              | 65536 | nothing |
      | 63 further lines              | 3     | 431     |
      | 8 empty lines                 | 1     | nothing |
      | 9 empty lines                 | 65536 | 431     |
      | lines that end without CR     | 2     | 431     |
      | a chunk extension without end | 500   | 431     |
      | chunks of one byte            | 65536 | nothing |
      | trailers without end          | 65536 | 431     |

  # Only one kind of client may be closed for the others: what makes no progress goes first.
  Scenario: Those that make no progress are closed first, the oldest and largest of them
    Given a client uploading that held 900, awaited body, since 0.1
    And a client queued that held 900, awaited nothing, since 60
    And a client paused that held 900, awaited body, since 60, waits 1
    And a client small that held 10, awaited body, since 60
    And a client old that held 300, awaited reading, since 60
    And a client young that held 500, awaited head, since 2
    And a client of_many that held 5, awaited body, since 2, address crowded
    And a client idle that awaited request, since 600
    Then 4 bytes are freed by closing of_many when memory was short for 0 s
    And 300 bytes are freed by closing of_many, old when memory was short for 5 s
    And 9999 bytes are freed by closing of_many, old, young, small when memory was short for 5 s

  Scenario: Where all would make progress, some are closed so that the others complete
    Given a client first that held 900, awaited body, since 9, waits 1
    And a client last that held 900, awaited body, since 5, waits 1
    And a client queued that held 900, awaited nothing, since 60
    Then 100 bytes are freed by closing none when memory was short for 0.5 s
    And 2000 bytes are freed by closing last when memory was short for 1.5 s

  Scenario: Further callers replace closing, silent and idle connections, then stalled ones
    Given a client new that awaited request, since 0.1
    And a client kept that awaited request, since 14, got 200
    And a client kept_long that awaited request, since 15, got 200
    And a client silent that awaited request, since 1
    And a client stalled that held 5, awaited body, since 9
    And a client served that held 5, awaited nothing, since 90
    And a client closing that awaited close, since 0
    Then 2 further callers replace closing, silent
    And 9 further callers replace closing, silent, kept_long, kept, stalled

  Scenario Outline: A client with <awaited> that moved <got> bytes in <since> s is judged <pace>
    Given a client it that awaited <awaited>, since <since>, got <got>
    Then it is judged <pace> at 100 bytes a second

    Examples:
      | awaited | got  | since | pace     |
      | body    | 0    | 14    | unknown  |
      | body    | 1499 | 15    | too slow |
      | body    | 1500 | 15    | enough   |
      | reading | 0    | 20    | too slow |
      | nothing | 0    | 90    | enough   |

  Scenario: Limits follow from the VM
    Then of an account of 1000 with 749 used, a client that holds 500 is read 65536
    And of an account of 1000 with 750 used, a client that holds 16385 is read 0
    And of an account of 1000 with 999 used, a client that holds 16384 is read 16384
    And of an account of 1000 with 1000 used, a client that holds 0 is read 0
    And a VM of 200 MB and 4100 descriptors allows 68000000 and 2000
    And a VM of 120 MB and 700 descriptors allows 28000000 and 300
    And while memory is short, address crowded gets 503 for a body of 100000
    And while memory is short, address crowded gets 503 for a body of unknown length
    And while memory is short, address crowded gets none for a body of 100
    And while memory is short, address other gets none for a body of 100000

  # Answers to pipelined requests piled up in front of a client that read none.
  Scenario: A connection whose answers are not read starts no further request
    When a caller that reads no answers sends 500 requests and leaves
    Then none was passed on, and the account held all of them and is empty
