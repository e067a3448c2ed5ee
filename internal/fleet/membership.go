package fleet

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/health"
)

// NameConflictError reports that another process uses this server's name.
type NameConflictError struct {
	Name string
	Addr string // address of the other process; "" if unknown
}

// Error describes the conflict and its consequence. The status shows this text.
func (e *NameConflictError) Error() string {
	if e.Addr == "" {
		return fmt.Sprintf("the name %s is borne by another process, too; this one serves without the fleet", e.Name)
	}
	return fmt.Sprintf("the name %s is taken by a server at %s; this one serves without the fleet", e.Name, e.Addr)
}

// UnknownServerError reports an attempt to remove a server that is not another known server of the fleet.
type UnknownServerError struct{ Name string }

// Error names the server.
func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("%q is no other server of the fleet that is known here", e.Name)
}

// ReachableServerError reports an attempt to remove a server that is reachable.
type ReachableServerError struct{ Name string }

// Error names the server.
func (e *ReachableServerError) Error() string {
	return fmt.Sprintf("%s is heard: it is not gone", e.Name)
}

// packetReceived records that a packet arrived from an address.
func (f *Fleet) packetReceived(from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detector.RecordMessage(f.elapsedMs(time.Now()), f.nameByAddr[from])
}

// NotifyAlive rejects nodes with invalid names (memberlist.AliveDelegate).
func (in *instance) NotifyAlive(n *memberlist.Node) error {
	if !validName(n.Name) {
		return errInvalidName
	}
	return nil
}

// NotifyJoin records a node that became reachable (memberlist.EventDelegate).
func (in *instance) NotifyJoin(n *memberlist.Node) { in.nodeAlive(n) }

// NotifyUpdate records a node's new metadata (memberlist.EventDelegate).
func (in *instance) NotifyUpdate(n *memberlist.Node) { in.nodeAlive(n) }

func (in *instance) nodeAlive(n *memberlist.Node) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Name == f.options.Name || !in.isCurrent() || !f.awake() {
		return
	}
	now := time.Now()
	if f.firstContact.IsZero() {
		f.firstContact = now
	}
	f.nameByAddr[n.Address()] = n.Name
	node := *n // a copy, because memberlist modifies its own
	f.nodes[n.Name] = &node
	if len(f.lastAddr) < f.options.healthConfig.MaxPeers || f.lastAddr[n.Name] != "" {
		f.lastAddr[n.Name] = n.Address()
	}
	generation, incarnation := parseNodeMeta(n.Meta)
	f.detector.AddMember(f.elapsedMs(now), n.Name, "", generation, incarnation)
	f.detector.MarkAlive(f.elapsedMs(now), n.Name)
	f.reachable.Store(int64(1 + len(f.nameByAddr)))
}

// NotifyLeave records a node that left or became unreachable (memberlist.EventDelegate).
func (in *instance) NotifyLeave(n *memberlist.Node) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.Name == f.options.Name || !in.isCurrent() || !f.awake() {
		return
	}
	now := time.Now()
	delete(f.nameByAddr, n.Address())
	delete(f.nodes, n.Name)
	f.reachable.Store(int64(1 + len(f.nameByAddr)))
	if n.State == memberlist.StateLeft {
		f.detector.MarkDeparted(f.elapsedMs(now), n.Name, 0, health.Left)
	} else {
		f.peersLost++
		f.detector.MarkSuspect(f.elapsedMs(now), n.Name)
	}
}

// NotifyPingComplete records a direct response to a health check (memberlist.PingDelegate).
func (in *instance) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if in.isCurrent() && f.awake() {
		f.detector.RecordAck(f.elapsedMs(time.Now()), n.Name)
	}
}

// AckPayload returns nil: responses to health checks carry no payload (memberlist.PingDelegate).
func (in *instance) AckPayload() []byte { return nil }

// NodeMeta returns metadata that distinguishes the incarnations of a name (memberlist.Delegate).
func (in *instance) NodeMeta(int) []byte {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	identity := &in.fleet.identity
	return binary.LittleEndian.AppendUint64(binary.AppendUvarint(nil, identity.Generation), identity.Incarnation)
}

// parseNodeMeta parses metadata that NodeMeta wrote. It returns zeros if the metadata is malformed.
func parseNodeMeta(meta []byte) (generation, incarnation uint64) {
	generation, length := binary.Uvarint(meta)
	if length <= 0 || len(meta) < length+8 {
		return 0, 0
	}
	return generation, binary.LittleEndian.Uint64(meta[length:])
}

// NotifyConflict handles a name that is in use at two addresses (memberlist.ConflictDelegate). If it is this server's own name and this server
// is a newcomer, this server excludes itself from the fleet, provided that the other process has the later generation or incarnation, or that
// this server reaches no peer. Otherwise both stay, and the conflict is only reported.
func (in *instance) NotifyConflict(existing, other *memberlist.Node) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !in.isCurrent() || !f.awake() {
		return
	}
	f.noteDuplicateName(fmt.Sprintf("%s at %s and at %s", existing.Name, existing.Address(), other.Address()))
	if existing.Name != f.options.Name || f.exclusion != nil {
		return
	}
	now := time.Now()
	if !f.firstContact.IsZero() && now.Sub(f.firstContact) >= newcomerPeriod {
		return
	}
	otherGeneration, otherIncarnation := parseNodeMeta(other.Meta)
	otherIsLater := otherGeneration > f.identity.Generation || otherGeneration == f.identity.Generation && otherIncarnation > f.identity.Incarnation
	if otherIsLater || f.detector.View(f.elapsedMs(now)).State == health.Isolated {
		f.exclude(&NameConflictError{Name: f.options.Name, Addr: other.Address()})
	}
}

// noteDuplicateName records and logs a name conflict, unless it has been recorded already. The caller holds the lock.
func (f *Fleet) noteDuplicateName(conflict string) {
	if slices.Contains(f.duplicateNames, conflict) {
		return
	}
	if len(f.duplicateNames) >= maxDuplicateNames {
		f.duplicateNames = f.duplicateNames[1:]
	}
	f.duplicateNames = append(f.duplicateNames, conflict)
	f.options.Log.WithField("servers", conflict).Error("fleet.duplicate_name")
}

// exclude ends this server's participation in the fleet, for the reason in err. The caller holds the lock.
func (f *Fleet) exclude(err error) {
	f.exclusion = err
	f.silenced.Store(true)
	if f.budgets != nil {
		go f.budgets.disable() // in a goroutine: the lock of Budgets is acquired before that of Fleet
	}
	f.detector.Reset(f.elapsedMs(time.Now()))
	f.options.Log.WithError(err).Error("fleet.excluded")
}

// DeclareRemoved removes a server from the roster of the whole fleet, on an operator's declaration that it will not come back. A later
// incarnation of the server, or evidence that it is running, adds it again. It returns an UnknownServerError or a ReachableServerError, or an
// error if the declaration can't be published.
func (f *Fleet) DeclareRemoved(r Removal) error {
	name := r.Name
	f.mu.Lock()
	defer f.mu.Unlock()
	generation, _, known := f.records.LatestIncarnation(name)
	if !known || name == f.options.Name {
		return &UnknownServerError{Name: name}
	}
	for _, p := range f.detector.Peers(f.elapsedMs(time.Now())) {
		if p.Name == name && p.Reachable {
			return &ReachableServerError{Name: name}
		}
	}
	now := time.Now()
	declaration := removal{name: name, generation: generation, operator: r.Operator, reason: r.Reason}
	if err := f.publish(now, keyRemoval, declaration.appendTo(nil)); err != nil {
		return err
	}
	f.detector.MarkDeparted(f.elapsedMs(now), name, generation, health.DeclaredDead)
	f.options.Log.WithFields(logrus.Fields{"peer": name, "operator": r.Operator, "reason": r.Reason}).Warn("fleet.member_removed")
	return nil
}
