// Command valvelab is the former name of valveexperiment, kept for one release.
package main

import "sorrelvalve/internal/experiment/command"

func main() {
	command.Main("valvelab", "valvelab: deprecated, removed in the next release: use "+command.Name)
}
