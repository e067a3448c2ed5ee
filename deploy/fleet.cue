// An operator's file for a server with a part in a fleet whose servers know one another, for valvefleet serve. Nothing here
// is switched on by the line run in balancer.toml, whose platform forbids talk between instances.
package sorrelvalve

version: "fleet example 1"

fleet: {
	name:   "portal"
	listen: "127.0.0.1:7946"
	zone:   "akl-1"
	seeds: ["127.0.0.1:7946", "127.0.0.2:7946"]
	socket: "/tmp/sorrelvalve-fleet.sock"
}
