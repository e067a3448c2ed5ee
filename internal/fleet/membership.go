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
	Addr string // of the other process; "" if that is not known
}

// Error names the conflict and what follows from it, for the status.
func (e *NameConflictError) Error() string {
	if e.Addr == "" {
		return fmt.Sprintf("the name %s is borne by another process, too; this one serves without the fleet", e.Name)
	}
	return fmt.Sprintf("the name %s is taken by a server at %s; this one serves without the fleet", e.Name, e.Addr)
}

// UnknownServerError reports the removal of a name that no other server of the fleet has.
type UnknownServerError struct{ Name string }

// Error names the server.
func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("%q is no other server of the fleet that is known here", e.Name)
}

// ReachableServerError reports the removal of a server that is reachable.
type ReachableServerError struct{ Name string }

// Error names the server.
func (e *ReachableServerError) Error() string {
	return fmt.Sprintf("%s is heard: it is not gone", e.Name)
}

// packetReceived notes a packet from an address.
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

// NotifyJoin notes a node that became reachable (memberlist.EventDelegate).
func (in *instance) NotifyJoin(n *memberlist.Node) { in.nodeAlive(n) }

// NotifyUpdate notes a node with new metadata (memberlist.EventDelegate).
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
	node := *n // memberlist goes on to change its own
	f.nodes[n.Name] = &node
	if len(f.lastAddr) < f.options.healthConfig.MaxPeers || f.lastAddr[n.Name] != "" {
		f.lastAddr[n.Name] = n.Address()
	}
	generation, incarnation := parseNodeMeta(n.Meta)
	f.detector.AddMember(f.elapsedMs(now), n.Name, "", generation, incarnation)
	f.detector.MarkAlive(f.elapsedMs(now), n.Name)
	f.reachable.Store(int64(1 + len(f.nameByAddr)))
}

// NotifyLeave notes a node that left or became unreachable (memberlist.EventDelegate).
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

// NotifyPingComplete notes a direct answer to a health check (memberlist.PingDelegate).
func (in *instance) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if in.isCurrent() && f.awake() {
		f.detector.RecordAck(f.elapsedMs(time.Now()), n.Name)
	}
}

// AckPayload adds nothing to an answer (memberlist.PingDelegate).
func (in *instance) AckPayload() []byte { return nil }

// NodeMeta is the metadata that tells one incarnation of a name from another (memberlist.Delegate).
func (in *instance) NodeMeta(int) []byte {
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	identity := &in.fleet.identity
	return binary.LittleEndian.AppendUint64(binary.AppendUvarint(nil, identity.Generation), identity.Incarnation)
}

// parseNodeMeta reads what NodeMeta wrote; zeros if it is malformed.
func parseNodeMeta(meta []byte) (generation, incarnation uint64) {
	generation, n := binary.Uvarint(meta)
	if n <= 0 || len(meta) < n+8 {
		return 0, 0
	}
	return generation, binary.LittleEndian.Uint64(meta[n:])
}

// NotifyConflict notes one name at two addresses (memberlist.ConflictDelegate). If it is this server's own and this server is a newcomer,
// it gives way; else both stay, and the conflict is reported.
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

// noteDuplicateName reports a conflict once. The lock is held.
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

// exclude ends this server's part in the fleet. The lock is held.
func (f *Fleet) exclude(err error) {
	f.exclusion = err
	f.silenced.Store(true)
	if f.budgets != nil {
		go f.budgets.disable() // its lock is taken before this one's elsewhere
	}
	f.detector.Reset(f.elapsedMs(time.Now()))
	f.options.Log.WithError(err).Error("fleet.excluded")
}

// DeclareRemoved removes a server that will not come back from the roster of the whole fleet, on an operator's word. A later incarnation
// of it, or a sign that it is running, brings it back. It fails with UnknownServerError or ReachableServerError, or if the declaration
// can't be published.
func (f *Fleet) DeclareRemoved(r Removal) error {
	name := r.Name
	f.mu.Lock()
	defer f.mu.Unlock()
	generation, _, has := f.records.LatestIncarnation(name)
	if !has || name == f.options.Name {
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
