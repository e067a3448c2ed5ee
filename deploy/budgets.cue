// An operator's file for servers that share a customer's quota with their fleet, and what they ask of a pool, for
// valvefleet serve. Nothing here is switched on by the line run in balancer.toml.
package sorrelvalve

version: "budgets example 1"

fleet: {
	name:   "portal"
	listen: "127.0.0.1:7946"
	seeds: ["127.0.0.1:7946", "127.0.0.2:7946"]
	expect: 8
	socket: "/tmp/sorrelvalve-fleet.sock"
}

// An RPC over its customer's quota is pushed back, whatever room there is.
limits: over_share: 0

pools: "pages": members: ["127.0.0.1:4101", "127.0.0.1:4102"]

methods: "account-view": {pool: "pages", path: "/account", verb: "GET"}

budgets: {
	// Eight, and one more while one is replaced.
	servers: 9
	customers: "kaipara-wireless": {bound: 200, burst: 40, floor: 0.5}
	retries: "pages": {bound: 10, burst: 16, floor: 0.2}
	calls: "pages": {bound: 36, floor: 1}
}
