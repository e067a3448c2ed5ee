// Schema of the operator's file. All times are in milliseconds. A star marks the default.
package sorrelvalve

// Version of the file. The operator chooses the text.
version: string & =~"^[^\\n]{1,64}$"

hold: {
	// Queueing time after which an RPC is no longer rejected in favour of a more critical one, so that a rejected
	// caller gets its answer early. 0 for no limit, which serves more RPCs during long bursts.
	settled_ms: *0 | number & >=0 & <=60000
}

// Limits that override those of the platform's settings: the fraction of its criticality that an RPC over its customer's
// quota keeps, the maximum number of runs per core, and the quota of each customer in RPCs per second.
limits: {
	over_share?:  number & >=0 & <=1
	runs_a_core?: number & >=1 & <=1000
	quotas?: [string]: number & >=0
}

// The recorder of the controller's events and actions. If not set, nothing is recorded.
trace?: {
	path: string & !=""
	// Size at which the next file begins, and the number of files that are kept.
	file_mb: *64 | number & >=0.1 & <=1048576
	files:   *4 | int & >=1 & <=1000
}

// The durable store, which keeps idempotency tokens and their answers over restarts. It needs a persistent disk. If not set,
// they are kept in memory only.
store?: {
	dir: string & !=""
	// Maximum size on disk, and the size of each segment. A segment is freed as a whole once the windows of all its tokens
	// have ended.
	mb:         *256 | number & >=1 & <=1048576
	segment_mb: *8 | number & >=0.1 & <=4096
	// Maximum size of a stored answer, including its header.
	answer_bytes: *16384 | int & >=0 & <=16777216
	// Maximum step of the wall clock while the server is down.
	tolerance_ms: *2000 | number & >=0 & <=3600000
}

// Membership in a fleet. If not set, the server is in no fleet. Only valvefleet serve supports it.
fleet?: #Fleet

// Limits that the servers of the fleet share. They hold even while some servers are cut off from the others. If not set, each
// server applies its limits on its own.
budgets?: #Budgets

// The front that accepts uwsgi. If not set, there is none.
uwsgi?: #UWSGI

// How web requests are mapped to RPCs. The most specific matching route applies, regardless of the order of routes.
routes: [string]: #Route

// Tests of routing and of the order in which methods are rejected. A file whose tests fail is not accepted.
expect?: [string]: #Expect

// Pools of uwsgi application servers.
pools: [string]: #Pool

// Methods whose RPCs are sent to a pool. RPCs of all other methods are sent to the engine.
methods: [string]: #Method

#Address: =~"^(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]{1,5}$"

#Expect: {
	// Either a request and the RPC to which it is mapped,
	host?:      string
	path?:      string
	verb?:      string
	query?:     string
	variables?: [string]: string
	method?:    string
	customer?:  string
	pool?:      string
	// or that no route matches the request,
	none?: bool
	// or that RPCs of method first are rejected before those of method then,
	first?: string
	then?:  string
	// also if the RPCs of method then are over their customer's quota.
	over_quota?: bool
}

#Fleet: {
	// Name of the fleet. A server ignores servers of a fleet with another name.
	name: *"" | string & =~"^[^\\n]{0,64}$"
	// Address for UDP packets and TCP streams. Outgoing traffic uses the same IP address.
	listen: #Address
	// Address of this server for the others, if it differs from listen.
	advertise?: #Address
	zone:       *"" | string & =~"^[^\\n]{0,64}$"
	// Servers to join, at the start and repeatedly afterwards. The list may contain the server's own address.
	seeds: *[] | [...#Address]
	// Number of servers in the fleet. With fewer members the fleet is incomplete. 0 for unknown.
	expect: *0 | int & >=0 & <=4096
	// File with the base64 of a key of 16, 24 or 32 bytes, the same on all servers. It encrypts the traffic between servers.
	key_file?: string & !=""
	// Client addresses of the replicas of the permit service, which grants drain permits.
	keepers?: [...#Address]
	// Directory on a persistent disk. It keeps the released version of the settings over restarts.
	folder?: string & !=""
	// Unix socket for valvefleet status and other operators' commands.
	socket?: string & !=""
}

#Budgets: {
	// Maximum number of servers that run at the same time. A server whose replacement starts while it drains counts twice.
	servers: int & >=1 & <=4096
	// Maximum error of the rate of a server's clock, as a fraction.
	clocks: *0.001 | number & >=0 & <=0.1
	// RPCs per second by customer, instead of the quotas in the settings; and retries per second by pool.
	customers?: [string]: #Rate
	retries?: [string]:   #Rate
	// Calls in flight by pool.
	calls?: [string]: {
		bound: number & >0
		floor: *0 | number & >=0
		// How long the pool may continue with an abandoned call. The call counts as in flight for this time.
		linger_ms: *1000 | number & >=0 & <=600000
		// Maximum duration of a lease. It must exceed the duration of any call plus linger_ms, or calls cannot use the lease.
		longest_ms: *20000 | number & >=500 & <=600000
	}
}

#Rate: {
	bound: number & >0
	// Burst of the whole fleet, above the rate. At least one for each server.
	burst: number & >0
	// Rate that each server always keeps, even when others request leases or when it is cut off from the fleet.
	floor: *0 | number & >=0
	// Duration of a lease between two renewals. If its holder is lost, the leased capacity is unused for that long.
	longest_ms: *4000 | number & >=500 & <=600000
}

#UWSGI: {
	listen: #Address
	// When a connection stays open after an answer: if the request's block has VALVE_KEEP=1, always, or never.
	keep: *"asked" | "always" | "never"
	// Whether a peer that closes its writing side still waits for the answer. Web servers close both sides when their
	// client disconnects, so by default such a peer counts as disconnected.
	half_close: *false | bool
	// Maximum size of the block of variables, number of variables, and length of the path with its query.
	block_bytes: *16384 | int & >=512 & <=65535
	variables:   *128 | int & >=8 & <=1024
	path_bytes:  *4096 | int & >=16 & <=65535
	// Maximum size of a body, and of all bodies together that are being read or are queued.
	body_bytes: *65536 | int & >=0 & <=16777216
	bodies_kb:  *8192 | int & >=1 & <=1048576
	// Timeout for the first message of a connection and for the rest of a block that has begun; and the timeout for a body.
	silence_ms: *2000 | number & >=10 & <=60000
	body_ms:    *5000 | number & >=10 & <=600000
	// Memory accounted for a queued RPC, in KB, in addition to its body.
	held_kb: *16 | number & >0 & <=2000
}

#Source: {
	names?: [string]: string
	{fixed: string & !=""} | {variable: string & !=""} | {segment: string & !=""} | {query: string & !=""}
}

#Route: {
	host?: string & !=""
	path:  =~"^/"
	verb?: "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PATCH" | "POST" | "PUT"
	when?: [string]: string
	method: string & !=""
	// Content type of an answer from the engine.
	type:      *"application/octet-stream" | string & !=""
	customer?: #Source
	caller?:   #Source
	token?:    #Source
	subject?:  #Source
	retry?:    #Source
	hint?:     #Source
	door?:     #Source
}

#Pool: {
	members: [#Address, ...#Address]
	// Maximum connections to each member; maximum number of RPCs in the pool's queue, and how long they may wait; and the
	// connect timeout.
	connections: *32 | int & >=1 & <=4096
	waiting:     *64 | int & >=0 & <=65536
	wait_ms:     *100 | number & >=0 & <=60000
	connect_ms:  *250 | number & >=1 & <=60000
	// Maximum size of the body of an answer.
	answer_bytes: *262144 | int & >=1 & <=16777216
	// A member is ejected after this many consecutive failures, or at this multiple of the other members' latency. 0 for never.
	failures: *5 | int & >=0 & <=1000
	outlier:  *4 | number & (0 | >=1.5) & <=1000
	// Minimum fraction of the members that stays in use, duration of the first ejection, and duration of the slow start after it.
	min_share: *0.5 | number & >=0 & <=1
	eject_ms:  *2000 | number & >=1 & <=600000
	return_ms: *5000 | number & >=0 & <=600000
	// Interval of active health checks (a uwsgi ping); 0 for none.
	check_ms: *0 | number & >=0 & <=600000
	// Retry budget: the ratio of retries to first attempts, the retries per second that are always allowed, and the maximum
	// number of attempts of one RPC, including the first.
	retry: {
		share: *0.1 | number & >=0 & <=1
		floor: *1 | number & >=0 & <=1000
		most:  *3 | int & >=1 & <=10
	}
}

#Method: {
	pool: string & !=""
	// Path, verb and variables of RPCs that have none.
	path: =~"^/"
	verb: *"POST" | "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PATCH" | "PUT"
	variables?: [string]: string
}
