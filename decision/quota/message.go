package quota

// This file defines the messages by which servers request, grant and release leases.

// MessageKind is the type of a message. The numbers are part of the wire format.
type MessageKind int

// The values of MessageKind.
const (
	Request    MessageKind = iota + 1 // from a holder: requests a new lease or a renewal
	Grant                             // from a grantor: grants the request, possibly in part
	Deny                              // from a grantor: denies the request
	Relinquish                        // from a holder: returns a lease before it expires
	Offer                             // from a grantor to a recent requester: capacity has become free
)

// DenialReason is the reason why a request was not granted. The numbers are part of the wire format.
type DenialReason int

// The values of DenialReason.
const (
	Exhausted     DenialReason = iota + 1 // no capacity is free
	Contended                             // other servers request capacity too, and the share of each is too small for a lease
	TooManyLeases                         // the grantor has reached maxLeases
	UnknownLimit                          // the grantor has no limit of that key
	NoAnswer                              // the request timed out
)

var denialTexts = [...]string{
	Exhausted:     "no free capacity",
	Contended:     "too many servers request capacity",
	TooManyLeases: "too many leases",
	UnknownLimit:  "unknown limit",
	NoAnswer:      "no answer came",
}

// String returns the text that fleet status shows.
func (r DenialReason) String() string { return denialTexts[min(max(r, 0), NoAnswer)] }

// Denial is a request that was denied or timed out. Fleet status prints it as JSON under the names in the tags.
type Denial struct {
	By     string
	Reason DenialReason `json:"Why"`
	Age    float64      `json:"Ago"` // ms
}

// Message is a message between two servers. Messages may be reordered, delayed, duplicated or lost.
type Message struct {
	Kind            MessageKind
	To              string
	RequestID       uint64  // ID of the request, unique within the requester's incarnation
	Incarnation     uint64  // of the requester
	Amount          float64 // requested, granted, relinquished or offered
	Duration        float64 // Grant: of the lease, ms
	PriorityWeight  float64 // Request: highest priority weight of the requester's recent rejections
	CurrentCapacity float64 // Request: the requester's capacity
	Renews          uint64  // Request: ID of the lease to renew; 0 for a new lease
	Reason          DenialReason
}

// KeyedMessage is a message about the limit with the given key.
type KeyedMessage struct {
	Key string
	Message
}
