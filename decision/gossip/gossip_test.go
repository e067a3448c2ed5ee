package gossip

import (
	"bytes"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

func rec(origin, key string, start, seq uint64, body string) []byte {
	return (&Record{Origin: origin, Key: key, Start: start, Life: start*10 + 1, Seq: seq, Body: []byte(body)}).Append(nil)
}

func TestNewestWins(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
		want Found
		body string // under a/k afterwards
	}{
		{"first", rec("a", "k", 2, 5, "x"), News, "x"},
		{"again", rec("a", "k", 2, 5, "x"), Known, "x"},
		{"older", rec("a", "k", 2, 4, "y"), Old, "x"},
		{"newer", rec("a", "k", 2, 6, "y"), News, "y"},
		{"of a former start, with a larger sequence", rec("a", "k", 1, 99, "z"), Old, "y"},
		{"of a later start, with a smaller sequence", rec("a", "k", 3, 1, "z"), News, "z"},
		{"damaged", append(rec("a", "k", 9, 1, "q")[:20], 1, 2, 3, 4, 5, 6), Damaged, "z"},
		{"empty", nil, Damaged, "z"},
		{"too long", rec("a", "k", 9, 1, string(make([]byte, 2000))), Over, "z"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, got := table.Put(1, c.raw); got != c.want {
				t.Errorf("Put: %d, want %d", got, c.want)
			}
			if r, _, _ := table.Get(1, "a", "k"); string(r.Body) != c.body {
				t.Errorf("the table holds %q, want %q", r.Body, c.body)
			}
		})
	}
	if n := table.Counts; n != (Counts{News: 3, Known: 1, Old: 2, Damaged: 2, Over: 1}) {
		t.Errorf("counted %+v", n)
	}
}

var table = NewTable(Usual)

// Fields that a later build adds are passed over, and passed on.
func TestLaterBuild(t *testing.T) {
	plain := rec("a", "k", 1, 1, "x")
	b := protowire.AppendString(protowire.AppendTag(nil, 9, protowire.BytesType), "of a later build")
	b = append(b, plain[:len(plain)-sumBytes]...)
	b = appendSum(b, 0)
	tab := NewTable(Usual)
	if r, found := tab.Put(1, b); found != News || string(r.Body) != "x" {
		t.Fatalf("%d %+v", found, r)
	}
	if out := tab.AppendAll(nil, 1<<20); !bytes.Contains(out, []byte("of a later build")) {
		t.Error("the unknown field was not passed on")
	}
}

func TestBounds(t *testing.T) {
	tab := NewTable(Bounds{Origins: 3, Keys: 2, RecordBytes: 200, OriginBytes: 220})
	for i := range 50 {
		tab.Put(1, rec(fmt.Sprint("o", i%7), fmt.Sprint("k", i%5), 1, uint64(i), string(make([]byte, i*3))))
	}
	for name, o := range tab.origins {
		if len(o.keys) > 2 || o.bytes > 220 {
			t.Errorf("%s holds %d records of %d bytes", name, len(o.keys), o.bytes)
		}
	}
	if len(tab.origins) != 3 || tab.Counts.Over == 0 {
		t.Errorf("%d origins, %d over", len(tab.origins), tab.Counts.Over)
	}
}

// Whatever the order, doubling and loss of records between tables: once each has had all, all hold the same, and the
// bytes counted are the bytes held.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all [][]byte
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			start := rapid.Uint64Range(1, 3).Draw(t, "start")
			all = append(all, (&Record{
				Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"), Key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key"),
				Start: start, Life: rapid.Uint64Range(1, 2).Draw(t, "life"), Seq: rapid.Uint64Range(1, 5).Draw(t, "seq"),
				Body: []byte("same for one life and sequence"),
			}).Append(nil))
		}
		var states [2][]byte
		for i := range states {
			tab := NewTable(Usual)
			r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))
			for range 2 {
				r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				for _, raw := range all {
					tab.Put(1, raw)
				}
			}
			_, _, size := tab.Size()
			state := tab.AppendAll(nil, 1<<20)
			var parts [][]byte
			sum := 0
			Split(state, func(raw []byte) { parts = append(parts, raw); sum += len(raw) })
			if sum != size {
				t.Fatalf("%d bytes counted, %d held", size, sum)
			}
			slices.SortFunc(parts, bytes.Compare)
			states[i] = bytes.Join(parts, nil)
		}
		if !bytes.Equal(states[0], states[1]) {
			t.Fatal("two tables that heard the same hold different records")
		}
	})
}

func FuzzPut(f *testing.F) {
	f.Add(rec("a", "k", 1, 1, "x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		tab := NewTable(Usual)
		if r, found := tab.Put(1, b); found == News {
			if _, again := tab.Put(2, b); again != Known {
				t.Fatalf("%+v: %d the second time", r, again)
			}
		}
		Split(b, func(raw []byte) { tab.Put(1, raw) })
	})
}
