// Command valveexperiment runs this project's experiments on stubs, on loopback. Each compares alternatives within one
// run, prints a table and its checks, and fails if one does not pass. It is never needed to run a server.
package main

import "sorrelvalve/internal/experiment/command"

func main() {
	command.Main(command.Name, "")
}
