// Command valvekeeper is the former name of valvepermitd, kept for one release.
package main

import "sorrelvalve/internal/permitserver/command"

func main() {
	command.Main("valvekeeper", "valvekeeper: deprecated, removed in the next release: use "+command.Name)
}
