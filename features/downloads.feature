Feature: Large answers stay in their zone while that serves their callers in time

  # Half of all bytes between zones were answers of downloads, although servers of the callers'
  # zones were free, or free within a tenth of the time that the callers had.
  Scenario Outline: A download is sent to another zone only where its own cannot serve it in time
    Given a server in each of two zones, that of the daemon <own> and the other one free
    When a <kind> that has a target of 2 s arrives
    Then it is sent to <first> at once, and to <later> after 0.5 s

    Examples: the own zone's server
      | own                         | kind     | first   | later   |
      | free                        | download | own     | own     |
      | slow by three               | download | own     | own     |
      | slow by three               | read     | other   | other   |
      | full                        | download | nothing | other   |
      | full                        | read     | other   | other   |
      | failing                     | download | other   | other   |
      | leaving                     | download | other   | other   |
      | full and freed after 0.2 s  | download | nothing | own     |
