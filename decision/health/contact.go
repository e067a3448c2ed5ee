package health

// This file tracks how each peer is reached: both ways, in one direction only, or through others.

// Contact is how a peer is reached.
type Contact int

// The values of Contact, from worst to best.
const (
	NoContact       Contact = iota // not at all
	IndirectContact                // other members relay updates about it
	InboundOnly                    // its messages arrive and it does not answer ours: the path to it is cut
	Bidirectional                  // it answers our messages
)

// String returns the text that status output shows.
func (c Contact) String() string {
	return [...]string{
		NoContact:       "none",
		IndirectContact: "through others",
		InboundOnly:     "one way",
		Bidirectional:   "both ways",
	}[min(max(c, NoContact), Bidirectional)]
}

// contactWindowPerMember (ms) is added to Config.ContactWindow for each listed member: twice the time that a prober which
// checks one peer every 500 ms takes for one more.
const contactWindowPerMember = 1000.0

// RecordMessage notes a message received directly from a peer; name is "" if the sender is not known.
func (d *Detector) RecordMessage(now float64, name string) {
	d.lastMessage = now
	if m, has := d.byName[name]; has {
		m.lastMessage = now
	}
}

// RecordAck notes a peer's direct answer to a message of ours.
func (d *Detector) RecordAck(now float64, name string) {
	d.RecordMessage(now, name)
	if m, has := d.byName[name]; has {
		m.lastAck = now
	}
}

// RecordIndirect notes an update about a peer that another member relayed. Records out of a full state exchange, which
// may be old, must not be passed here.
func (d *Detector) RecordIndirect(now float64, name, via string) {
	if m, has := d.byName[name]; has && via != name && via != "" {
		m.lastIndirect = now
		m.indirectVia = via
	}
}

// Contact reports how a peer is reached.
func (d *Detector) Contact(now float64, name string) Contact {
	m, has := d.byName[name]
	if !has {
		return NoContact
	}
	return m.contact(now, d.contactWindow())
}

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
