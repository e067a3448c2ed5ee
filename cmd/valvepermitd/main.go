// Command valvepermitd runs one replica of the permit service, which manages drain permits, halts and releases, and has the
// operators' commands for the service. It is a separate program so that the daemon does not link raft.
package main

import "sorrelvalve/internal/permitserver/command"

func main() { command.Main(command.Name, "") }
