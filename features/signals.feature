@sockets
Feature: signals while a process starts
  A signal may arrive at any moment, even before the process has opened its data folder and its servers.

  Scenario: a reload and a planned stop before the process has started
    Given a daemon that takes long to open
    When it is sent SIGHUP while it opens
    Then it goes on
    When it is sent SIGTERM while it opens
    Then it ends by itself with 0
