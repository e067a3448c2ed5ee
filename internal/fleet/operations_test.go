package fleet

import (
	"context"
	"net/url"
	"testing"
)

// The queries of the status socket keep their parameters: queries that commands of b631b89 sent are parsed with the same meaning.
func TestOperationQueries(t *testing.T) {
	for query, want := range map[string]DrainCommand{
		"who=me&why=test": {Operation: OperationDrain, Subject: "n0", Operator: "me", Reason: "test"},
		"subject=&what=drain&who=me&why=new+kernel":  {Operation: OperationDrain, Subject: "n0", Operator: "me", Reason: "new kernel"},
		"what=back&subject=n1&who=me&why=test":       {Operation: OperationCancel, Subject: "n1", Operator: "me", Reason: "test"},
		"what=drain&subject=apps/10.0.0.1:80&who=me": {Operation: OperationDrain, Subject: "apps/10.0.0.1:80", Operator: "me"},
		"what=halt&why=slow":                         {Operation: OperationHalt, Subject: "n0", Reason: "slow"},
		"what=resume":                                {Operation: OperationResume, Subject: "n0"},
	} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		got := parseDrainCommand(values, "n0")
		if got != want {
			t.Errorf("%s: got %+v, want %+v", query, got, want)
		}
		again, err := url.ParseQuery(got.query())
		if err != nil {
			t.Fatal(err)
		}
		if reparsed := parseDrainCommand(again, "n9"); reparsed != want {
			t.Errorf("%s: got %+v after encoding and parsing again, want %+v", query, reparsed, want)
		}
	}
	unknown := DrainCommand{Operation: "stop", Subject: "n0"}
	if err := unknown.run(context.Background(), nil, "n0"); err == nil || err.Error() != `what: drain, back, halt or resume expected, "stop" there` {
		t.Errorf("error for an unknown operation: got %v", err)
	}
	removal := Removal{Name: "b", Operator: "me", Reason: "scrapped"}
	if got := removal.query(); got != "name=b&who=me&why=scrapped" {
		t.Errorf("query of a removal: got %s", got)
	}
}
