package retry

import (
	"context"
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// # Loans
//
// A VM that has just started, or that gets few requests, may want a retry before its own requests and its share of the burst
// allow one, while other VMs have some that they don't need. It asks some of them one after the other, and each lends
// what it has, up to what is missing. The lender counts a loan as spent from then on, and for loanTime longer than a
// retry; the borrower spends it within loanTime of its question, or never. So a loan moves a part of the budget and adds nothing,
// also if its message is late or lost. A borrower that could not borrow enough gives back what it got, and the lender
// counts it no more.

const (
	// maxLoanTime is the longest time from a question to the retry that spends its answers.
	maxLoanTime = 50 * time.Millisecond
	// maxLenders is the largest number of VMs that are asked for one retry.
	maxLenders = 6
	// answerTime is how long a VM waits for one answer.
	answerTime = 15 * time.Millisecond
	// shortFor is how long after a VM could not borrow it neither asks again nor lends.
	shortFor = time.Second
	// enough is the amount from which a retry counts as whole, against rounding.
	enough = 1 - 1e-9
)

// LoanKind is what a Loan says.
type LoanKind uint8

// Kinds of loans.
const (
	LoanQuestion LoanKind = iota
	LoanAnswer
	LoanReturn // the borrower has not spent the answer, and will not
)

// Loan is a question for a part of a retry, the answer to one, or its return.
type Loan struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64   // of the question; its answer and its return have the same
	Service string
	Amount  float64 // in retries: wanted, lent or returned
	Kind    LoanKind
}

// Lenders is how a VM reaches others that may lend.
type Lenders struct {
	// Pick returns at most max VMs to ask, in order.
	Pick func(max int) []ids.VM
	// Send sends a question or an answer. It may get lost.
	Send func(to ids.VM, l Loan)
}

// loanTime returns the time within which loans of a budget with a window must be spent.
func loanTime(window time.Duration) time.Duration { return min(maxLoanTime, window/windowSlots) }

// loanKey identifies a loan at its lender.
type loanKey struct {
	to     ids.VM
	number uint64
}

// lentLoan is a loan that may be returned.
type lentLoan struct {
	amount float64
	slot   int64
}

// Lend takes up to an amount out of the budget for another VM, and returns how much. It lends nothing if
// this VM is short of retries itself.
func (b *Budget) Lend(to ids.VM, number uint64, amount float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	key := loanKey{to, number}
	if _, twice := b.loans[key]; twice || !(amount > 0) || b.short() {
		return 0
	}
	requests, retries := b.counts()
	share := b.share()
	fraction := b.ratio*float64(requests) - retries
	amount = min(amount, 1, fraction+share.Retries)
	if amount <= 0 {
		return 0
	}
	b.lent += amount
	if b.loans == nil {
		b.loans = map[loanKey]lentLoan{}
	}
	b.loans[key] = lentLoan{amount: amount, slot: b.newest}
	if amount > fraction && b.fleet != nil && share.VMs > 0 {
		b.fleet.spend(share.VMs)
	}
	return amount
}

// Return takes back a loan that was not spent. It does nothing if the loan is older than a slot.
func (b *Budget) Return(from ids.VM, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.advance()
	l, ok := b.loans[loanKey{from, number}]
	if !ok {
		return
	}
	b.loans[loanKey{from, number}] = lentLoan{slot: l.slot} // so that a copy changes nothing
	if l.slot == b.newest {
		b.lent -= l.amount
		return
	}
	b.retries[slot] -= l.amount // advance has kept those of the slot before
}

// forgetLoans forgets the loans that can't be returned any more. The caller holds mu.
func (b *Budget) forgetLoans() {
	for key, l := range b.loans {
		if l.slot < b.newest-1 {
			delete(b.loans, key)
		}
	}
}

// short reports whether a retry was refused lately although other VMs were asked. The caller holds mu.
func (b *Budget) short() bool { return !b.shortAt.IsZero() && b.now().Sub(b.shortAt) < shortFor }

// missing returns how much the budget lacks for a retry; ok is false if it lacks more than a whole one, or if the VM is too
// short of retries to ask for it.
func (b *Budget) missing() (amount float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	remaining := b.remaining()
	return 1 - remaining, remaining >= 0 && !b.short()
}

func (b *Budget) setShort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shortAt = b.now()
}

// SpendOrBorrow is Spend, but if the budget of a service is empty it asks other VMs for what is missing. It
// returns within a few answerTime, or when ctx ends.
func (s *ServiceBudgets) SpendOrBorrow(ctx context.Context, service string) Account {
	b := s.Of(service)
	a := b.Spend()
	if a.Allowed() || s.Lenders.Pick == nil {
		return a
	}
	missing, ok := b.missing()
	if !ok {
		return a
	}
	asked := s.now()
	loans := s.borrow(ctx, service, missing, asked)
	borrowed := 0.0
	for _, l := range loans {
		borrowed += l.amount
	}
	if s.now().Sub(asked) < loanTime(s.window) {
		a = b.spendWith(borrowed)
	}
	if !a.Allowed() {
		b.setShort()
	}
	if a.Source != FromPeers {
		s.giveBack(service, loans)
		return a
	}
	for _, l := range loans {
		a.Lenders = append(a.Lenders, l.vm)
	}
	return a
}

// answered is a loan of a VM.
type answered struct {
	vm     ids.VM
	number uint64
	amount float64
}

// borrow asks VMs one after the other until they have lent an amount, and returns what they have lent.
func (s *ServiceBudgets) borrow(ctx context.Context, service string, amount float64, asked time.Time) (loans []answered) {
	for _, vm := range s.Lenders.Pick(maxLenders) {
		left := loanTime(s.window) - s.now().Sub(asked)
		if amount <= 0 || left <= 0 || ctx.Err() != nil {
			break
		}
		if l := s.ask(ctx, vm, service, amount, min(left, answerTime)); l.amount > 0 {
			loans = append(loans, l)
			amount -= l.amount
		}
	}
	return loans
}

// giveBack returns loans that were not spent.
func (s *ServiceBudgets) giveBack(service string, loans []answered) {
	for _, l := range loans {
		s.Lenders.Send(l.vm, Loan{Number: l.number, Service: service, Amount: l.amount, Kind: LoanReturn})
	}
}

// ask asks one VM for a loan.
func (s *ServiceBudgets) ask(ctx context.Context, vm ids.VM, service string, amount float64, wait time.Duration) answered {
	answer := make(chan float64, 1)
	s.loansMu.Lock()
	s.question++
	number := s.question
	s.questions[number] = question{vm: vm, amount: amount, answer: answer}
	s.loansMu.Unlock()
	defer func() {
		s.loansMu.Lock()
		defer s.loansMu.Unlock()
		delete(s.questions, number)
	}()
	s.Lenders.Send(vm, Loan{Number: number, Service: service, Amount: amount})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case lent := <-answer:
		return answered{vm: vm, number: number, amount: lent}
	case <-timer.C:
	case <-ctx.Done():
	}
	return answered{}
}

// question is a question that waits for its answer.
type question struct {
	vm     ids.VM
	amount float64
	answer chan float64
}

// ReceiveLoan handles a question, an answer or a return of another VM. It does nothing if the receiver or the loan is nil.
func (s *ServiceBudgets) ReceiveLoan(from ids.VM, l *Loan) {
	if s == nil || l == nil || math.IsNaN(l.Amount) {
		return
	}
	switch l.Kind {
	case LoanAnswer:
		s.receiveAnswer(from, l)
	case LoanReturn:
		s.Of(l.Service).Return(from, l.Number)
	case LoanQuestion:
		lent := s.Of(l.Service).Lend(from, l.Number, l.Amount)
		s.Lenders.Send(from, Loan{Number: l.Number, Service: l.Service, Amount: lent, Kind: LoanAnswer})
	}
}

// receiveAnswer passes an answer on to the question that waits for it.
func (s *ServiceBudgets) receiveAnswer(from ids.VM, l *Loan) {
	s.loansMu.Lock()
	defer s.loansMu.Unlock()
	q, ok := s.questions[l.Number]
	if !ok || q.vm != from || l.Amount < 0 || l.Amount > q.amount {
		return
	}
	select {
	case q.answer <- l.Amount:
	default: // a second copy
	}
}
