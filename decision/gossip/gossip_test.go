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
	return (&Record{Origin: origin, Key: key, Generation: start, Incarnation: start*10 + 1, Sequence: seq, Body: []byte(body)}).Append(nil)
}

func TestNewestWins(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
		want PutResult
		body string // under a/k afterwards
	}{
		{"first", rec("a", "k", 2, 5, "x"), Updated, "x"},
		{"again", rec("a", "k", 2, 5, "x"), Duplicate, "x"},
		{"older", rec("a", "k", 2, 4, "y"), Stale, "x"},
		{"newer", rec("a", "k", 2, 6, "y"), Updated, "y"},
		{"of a former start, with a larger sequence", rec("a", "k", 1, 99, "z"), Stale, "y"},
		{"of a later start, with a smaller sequence", rec("a", "k", 3, 1, "z"), Updated, "z"},
		{"damaged", append(rec("a", "k", 9, 1, "q")[:20], 1, 2, 3, 4, 5, 6), Corrupt, "z"},
		{"empty", nil, Corrupt, "z"},
		{"too long", rec("a", "k", 9, 1, string(make([]byte, 2000))), OverLimit, "z"},
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
	if n := table.Counts; n != (Counts{Updated: 3, Duplicate: 1, Stale: 2, Corrupt: 2, OverLimit: 1}) {
		t.Errorf("counted %+v", n)
	}
}

var table = NewTable(DefaultLimits)

// Fields that a later build adds are passed over, and passed on.
func TestLaterBuild(t *testing.T) {
	plain := rec("a", "k", 1, 1, "x")
	b := protowire.AppendString(protowire.AppendTag(nil, 9, protowire.BytesType), "of a later build")
	b = append(b, plain[:len(plain)-sumBytes]...)
	b = appendSum(b, 0)
	tab := NewTable(DefaultLimits)
	if r, found := tab.Put(1, b); found != Updated || string(r.Body) != "x" {
		t.Fatalf("%d %+v", found, r)
	}
	if out := tab.AppendState(nil, 1<<20); !bytes.Contains(out, []byte("of a later build")) {
		t.Error("the unknown field was not passed on")
	}
}

func TestBounds(t *testing.T) {
	tab := NewTable(Limits{MaxOrigins: 3, MaxKeysPerOrigin: 2, MaxRecordBytes: 200, MaxOriginBytes: 220})
	for i := range 50 {
		tab.Put(1, rec(fmt.Sprint("o", i%7), fmt.Sprint("k", i%5), 1, uint64(i), string(make([]byte, i*3))))
	}
	for name, o := range tab.origins {
		if len(o.keys) > 2 || o.bytes > 220 {
			t.Errorf("%s holds %d records of %d bytes", name, len(o.keys), o.bytes)
		}
	}
	if len(tab.origins) != 3 || tab.Counts.OverLimit == 0 {
		t.Errorf("%d origins, %d over", len(tab.origins), tab.Counts.OverLimit)
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
				Generation: start, Incarnation: rapid.Uint64Range(1, 2).Draw(t, "life"), Sequence: rapid.Uint64Range(1, 5).Draw(t, "seq"),
				Body: []byte("same for one life and sequence"),
			}).Append(nil))
		}
		var states [2][]byte
		for i := range states {
			tab := NewTable(DefaultLimits)
			r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))
			for range 2 {
				r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				for _, raw := range all {
					tab.Put(1, raw)
				}
			}
			_, _, size := tab.Size()
			state := tab.AppendState(nil, 1<<20)
			var parts [][]byte
			sum := 0
			SplitState(state, func(raw []byte) { parts = append(parts, raw); sum += len(raw) })
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
		tab := NewTable(DefaultLimits)
		if r, found := tab.Put(1, b); found == Updated {
			if _, again := tab.Put(2, b); again != Duplicate {
				t.Fatalf("%+v: %d the second time", r, again)
			}
		}
		SplitState(b, func(raw []byte) { tab.Put(1, raw) })
	})
}
