package quota

// This file defines the messages by which servers request, grant and release leases.

// MessageKind is what a message asks or answers. The numbers go over the wire.
type MessageKind int

// The values of MessageKind.
const (
	Request    MessageKind = iota + 1 // by a holder: a new lease, or a renewal
	Grant                             // by a grantor: the request is granted, perhaps in part
	Deny                              // by a grantor: the request is denied
	Relinquish                        // by a holder: it gives a lease back before it expires
	Offer                             // by a grantor, to one that it had denied: capacity has become free
)

// DenialReason is why a request got nothing. The numbers go over the wire.
type DenialReason int

// The values of DenialReason.
const (
	Exhausted     DenialReason = iota + 1 // nothing is free
	Contended                             // others request, too, and each one's part is too small to lease
	TooManyLeases                         // the grantor has granted as many leases as it may
	UnknownLimit                          // the grantor has no such limit
	NoAnswer                              // the request timed out
)

var denialTexts = [...]string{
	Exhausted:     "nothing is free there",
	Contended:     "too many ask there",
	TooManyLeases: "it has lent to as many as it may",
	UnknownLimit:  "it has no such budget",
	NoAnswer:      "no answer came",
}

// String returns the text that status output shows.
func (r DenialReason) String() string { return denialTexts[min(max(r, 0), NoAnswer)] }

// Denial is a request that got nothing. Fleet status prints it as JSON under the names in the tags.
type Denial struct {
	By     string
	Reason DenialReason `json:"Why"`
	Age    float64      `json:"Ago"` // ms
}

// Message travels between two servers. It may arrive in any order, late, twice or never.
type Message struct {
	Kind            MessageKind
	To              string
	RequestID       uint64  // of the request, within the requester's incarnation
	Incarnation     uint64  // of the requester
	Amount          float64 // requested, granted, released or offered
	Duration        float64 // Grant: ms
	PriorityWeight  float64 // Request: the highest of what the requester rejects
	CurrentCapacity float64 // Request: the requester's capacity
	Renews          uint64  // Request: id of the lease to renew; 0 for a new one
	Reason          DenialReason
}

// KeyedMessage is a message about one of a ledger's limits.
type KeyedMessage struct {
	Key string
	Message
}
