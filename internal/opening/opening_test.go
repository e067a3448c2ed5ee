package opening

import (
	"strings"
	"testing"

	"sorrelvalve/control"
)

const settings = "classes.count=1\nclasses.0.aim=1800000000\nclasses.0.give_up=4500000000\n" +
	"classes.0.idempotency=idempotency_key\nclasses.0.window=5000000000\nfamily_info.halt=suspend\n" +
	"family_info.cores=6\nnew.path=1\n"

func TestParse(t *testing.T) {
	cases := []struct{ name, text, bad string }{
		{"sound", settings, ""},
		{"no path", "cores", "settings line 1: path=value expected"},
		{"not a number", settings + "family_info.cores=six\n", "family_info.cores: a number"},
		{"false length", settings + "customers.count=1000000000\n", "customers.count: at most"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, err := Parse(c.text)
			if c.bad != "" {
				if err == nil || !strings.Contains(err.Error(), c.bad) {
					t.Fatalf("error %v, want %q", err, c.bad)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			m := o.Methods[0]
			if m.LatencyTarget != 1800 || m.Deadline != 4500 || m.Repeat != control.Tokened || m.Window != 5000 ||
				o.Node.Cores != 6 || o.Node.Stop != control.StopPause || o.Fleet.Peers != 1 {
				t.Errorf("got %+v", o)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(settings)
	f.Fuzz(func(t *testing.T, text string) {
		if o, err := Parse(text); err == nil && len(o.Methods) == 0 {
			t.Error("no method and no error")
		}
	})
}
