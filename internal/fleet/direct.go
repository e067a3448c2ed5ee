package fleet

// A direct packet goes to one server alone. It begins with directMark, where a gossiped record has the length of its relay's name; then
// come the channel, and the sender's name behind its length.
const (
	directMark    = 0
	channelLeases = 1
)

// sendDirect sends a packet to one server if that is reachable. It may be lost, duplicated or reordered.
func (f *Fleet) sendDirect(to string, channel byte, body []byte) {
	f.mu.Lock()
	in := f.instance
	node := f.nodes[to]
	f.mu.Unlock()
	if in == nil || node == nil || !f.awake() {
		return
	}
	select {
	case <-in.ready:
	default:
		return
	}
	if in.memberlist == nil {
		return
	}
	packet := appendName([]byte{directMark, channel}, f.options.Name)
	_ = in.memberlist.SendBestEffort(node, append(packet, body...)) // its receiver allows for loss
}

// receiveDirect takes a packet behind its mark. One from a server that is not reachable is ignored.
func (in *instance) receiveDirect(packet []byte) {
	channel := packet[0]
	from, body, ok := cutName(packet[1:])
	if !ok {
		return
	}
	f := in.fleet
	f.mu.Lock()
	budgets := f.budgets
	accepted := in.isCurrent() && f.awake() && f.exclusion == nil && from != f.options.Name && f.nodes[from] != nil
	f.mu.Unlock()
	if accepted && channel == channelLeases && budgets != nil {
		budgets.receive(from, body)
	}
}
