package control

// keys are the tokens remembered here: some tens, so they are simply looked through.
type keys struct {
	kb   float64
	list []key
}

type key struct {
	id    uint32
	until float64 // the server's table drops it then
	known float64 // a repeat read late may still name it until then
}

// drop forgets an RPC's token, and all that can no longer be named.
func (k *keys) drop(id uint32, now float64) {
	n := 0
	for _, e := range k.list {
		if e.id != id && e.known >= now {
			k.list[n] = e
			n++
		}
	}
	k.list = k.list[:n]
}

func (k *keys) knows(id uint32) bool {
	for _, e := range k.list {
		if e.id == id {
			return true
		}
	}
	return false
}

// used is the memory that they take.
func (k *keys) used(now float64) (kb float64) {
	for _, e := range k.list {
		if e.until >= now {
			kb += k.kb
		}
	}
	return kb
}
