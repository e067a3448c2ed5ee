package health

// This file tracks whether each peer is in contact in both directions, in one direction only, or through other members.

// Contact is the kind of contact with a peer.
type Contact int

// The values of Contact, from worst to best.
const (
	NoContact       Contact = iota // no recent message or update
	IndirectContact                // other members relay updates about the peer
	InboundOnly                    // its messages arrive, but it does not answer: the path to it is broken
	Bidirectional                  // it answers messages of this server
)

// String returns the text for status output.
func (c Contact) String() string {
	return [...]string{
		NoContact:       "none",
		IndirectContact: "through others",
		InboundOnly:     "one way",
		Bidirectional:   "both ways",
	}[min(max(c, NoContact), Bidirectional)]
}

// contactWindowPerMember is added to Config.ContactWindow for each listed member, in ms. A prober that checks one peer every
// 500 ms takes half of this for each further member.
const contactWindowPerMember = 1000.0

// RecordMessage records a message received directly from a peer; name is "" if the sender is unknown.
func (d *Detector) RecordMessage(now float64, name string) {
	d.lastMessage = now
	if m, ok := d.byName[name]; ok {
		m.lastMessage = now
	}
}

// RecordAck records a peer's direct answer to a message of this server.
func (d *Detector) RecordAck(now float64, name string) {
	d.RecordMessage(now, name)
	if m, ok := d.byName[name]; ok {
		m.lastAck = now
	}
}

// RecordIndirect records an update about a peer that the member via relayed. It must not be called for records from a full
// state exchange, which may be old.
func (d *Detector) RecordIndirect(now float64, name, via string) {
	if m, ok := d.byName[name]; ok && via != name && via != "" {
		m.lastIndirect = now
		m.indirectVia = via
	}
}

// Contact returns the kind of contact with a peer.
func (d *Detector) Contact(now float64, name string) Contact {
	m, ok := d.byName[name]
	if !ok {
		return NoContact
	}
	return m.contact(now, d.contactWindow())
}

// contactWindow returns the time in ms within which a message or update counts as contact.
func (d *Detector) contactWindow() float64 {
	return d.config.ContactWindow + contactWindowPerMember*float64(len(d.sorted))
}

func (m *member) contact(now, window float64) Contact {
	switch {
	case now-m.lastAck < window:
		return Bidirectional
	case now-m.lastMessage < window:
		return InboundOnly
	case now-m.lastIndirect < window || m.alive:
		return IndirectContact
	}
	return NoContact
}
