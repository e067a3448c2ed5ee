package fleet

// A direct packet is sent to a single server. It begins with directMark, in the place where a gossiped record has the length of its relay's
// name, followed by the channel and the sender's name prefixed by its length.
const (
	directMark    = 0
	channelLeases = 1
)

// sendDirect sends a packet to one server if that server is reachable. The packet may be lost, duplicated or reordered.
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
	_ = in.memberlist.SendBestEffort(node, append(packet, body...)) // a lost packet is tolerated by the receiver
}

// receiveDirect processes a direct packet without its mark. Packets from servers that are not reachable are ignored.
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
