// Command valvepermitd runs one replica of the permit service, which agrees on drain permits, halts and releases, and holds
// the operators' commands over it. It is a process of its own, so that the daemon links no raft.
package main

import "sorrelvalve/internal/permitserver/command"

func main() { command.Main(command.Name, "") }
