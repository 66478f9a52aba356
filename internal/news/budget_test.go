package news

import (
	"reflect"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/retry"
)

// TestBudgetMessages checks that statements and loans of retry budgets arrive as they were sent.
func TestBudgetMessages(t *testing.T) {
	for _, m := range []Message{
		{VM: "vm0", Seq: 3, Budget: &retry.Statement{Revision: objectapi.StartOf(2) + 7, VMs: 8, Spent: 6, Asks: true}},
		{VM: "vm0", Loan: &retry.Loan{Number: 1 << 63, Service: "svc", Amount: 0.25, Kind: retry.LoanReturn}},
	} {
		data, err := Encode(&m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(data, func(uint32) (ids.Target, bool) { return "", false })
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Errorf("got %+v, want %+v", got, m)
		}
	}
}
