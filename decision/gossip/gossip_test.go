package gossip

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

func record(origin, key string, generation, sequence uint64, body string) []byte {
	return (&Record{Origin: origin, Key: key, Generation: generation, Incarnation: generation*10 + 1, Sequence: sequence, Body: []byte(body)}).Append(nil)
}

func TestLastWriterWins(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
		want PutResult
		body string // under a/k afterwards
	}{
		{"first", record("a", "k", 2, 5, "x"), Updated, "x"},
		{"again", record("a", "k", 2, 5, "x"), Duplicate, "x"},
		{"older", record("a", "k", 2, 4, "y"), Stale, "x"},
		{"newer", record("a", "k", 2, 6, "y"), Updated, "y"},
		{"of a former generation, with a larger sequence", record("a", "k", 1, 99, "z"), Stale, "y"},
		{"of a later generation, with a smaller sequence", record("a", "k", 3, 1, "z"), Updated, "z"},
		{"damaged", append(record("a", "k", 9, 1, "q")[:20], 1, 2, 3, 4, 5, 6), Corrupt, "z"},
		{"empty", nil, Corrupt, "z"},
		{"too long", record("a", "k", 9, 1, string(make([]byte, 2000))), OverLimit, "z"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, got := sharedTable.Put(1, c.raw); got != c.want {
				t.Errorf("Put: %d, want %d", got, c.want)
			}
			if r, _, _ := sharedTable.Get(1, "a", "k"); string(r.Body) != c.body {
				t.Errorf("the table holds %q, want %q", r.Body, c.body)
			}
		})
	}
	if n := sharedTable.Counts; n != (Counts{Updated: 3, Duplicate: 1, Stale: 2, Corrupt: 2, OverLimit: 1}) {
		t.Errorf("counted %+v", n)
	}
}

var sharedTable = NewTable(DefaultLimits)

// Fields that a later version adds are skipped when read, and passed on.
func TestUnknownFields(t *testing.T) {
	plain := record("a", "k", 1, 1, "x")
	b := protowire.AppendString(protowire.AppendTag(nil, 9, protowire.BytesType), "of a later build")
	b = append(b, plain[:len(plain)-checksumBytes]...)
	b = appendChecksum(b, 0)
	table := NewTable(DefaultLimits)
	if r, result := table.Put(1, b); result != Updated || string(r.Body) != "x" {
		t.Fatalf("%d %+v", result, r)
	}
	if out := table.AppendState(nil, 1<<20); !bytes.Contains(out, []byte("of a later build")) {
		t.Error("the unknown field was not passed on")
	}
}

func TestLimits(t *testing.T) {
	table := NewTable(Limits{MaxOrigins: 3, MaxKeysPerOrigin: 2, MaxRecordBytes: 200, MaxOriginBytes: 220})
	for i := range 50 {
		table.Put(1, record(fmt.Sprint("o", i%7), fmt.Sprint("k", i%5), 1, uint64(i), string(make([]byte, i*3))))
	}
	for name, o := range table.origins {
		if len(o.records) > 2 || o.bytes > 220 {
			t.Errorf("%s holds %d records of %d bytes", name, len(o.records), o.bytes)
		}
	}
	if len(table.origins) != 3 || table.Counts.OverLimit == 0 {
		t.Errorf("%d origins, %d over", len(table.origins), table.Counts.OverLimit)
	}
}

// Whatever the order, doubling and loss of records between tables: once each has had all, all hold the same, and the
// bytes counted are the bytes held.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all [][]byte
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			generation := rapid.Uint64Range(1, 3).Draw(t, "start")
			all = append(all, (&Record{
				Origin: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin"), Key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key"),
				Generation: generation, Incarnation: rapid.Uint64Range(1, 2).Draw(t, "life"), Sequence: rapid.Uint64Range(1, 5).Draw(t, "seq"),
				Body: []byte("same for one life and sequence"),
			}).Append(nil))
		}
		var states [2][]byte
		for i := range states {
			table := NewTable(DefaultLimits)
			r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order")))
			for range 2 {
				r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				for _, raw := range all {
					table.Put(1, raw)
				}
			}
			_, _, size := table.Size()
			state := table.AppendState(nil, 1<<20)
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
			t.Fatal("two tables with the same records hold different state")
		}
	})
}

func FuzzPut(f *testing.F) {
	f.Add(record("a", "k", 1, 1, "x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		table := NewTable(DefaultLimits)
		if r, result := table.Put(1, b); result == Updated {
			if _, again := table.Put(2, b); again != Duplicate {
				t.Fatalf("%+v: %d the second time", r, again)
			}
		}
		SplitState(b, func(raw []byte) { table.Put(1, raw) })
	})
}

// Fleet status prints counts as JSON under these names.
func TestCountsJSON(t *testing.T) {
	got, err := json.Marshal(Counts{Updated: 1, Duplicate: 2, Stale: 3, Corrupt: 4, OverLimit: 5})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"News":1,"Known":2,"Old":3,"Damaged":4,"Over":5}`; string(got) != want {
		t.Errorf("%s, want %s", got, want)
	}
}
