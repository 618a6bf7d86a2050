package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// archive is the store that an export writes to. It records each row with the token of the lease under which the export
// runs, in the order in which rows arrive. It checks no token: it is an ordinary store.
func archive(args []string) error {
	r, err := openRecord(args[1])
	if err != nil {
		return err
	}
	return http.ListenAndServe(args[0], http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.add("archive: token %s row %s", q.FormValue("token"), q.FormValue("row"))
		w.Write([]byte("kept\n"))
	}))
}

// rows is the part of an export that writes: a row each 250 ms for 25 s.
func rows(args []string) error {
	client := http.Client{Timeout: 2 * time.Second}
	os.WriteFile(args[1], []byte(strconv.Itoa(os.Getpid())), 0o644) // for the script, which ends it by its id
	for i := range 100 {
		resp, err := client.Post(fmt.Sprintf("http://%s/?token=%s&row=%d", args[0], os.Getenv("JUNCTIONRING_TOKEN"), i), "", nil)
		if err != nil {
			return err
		}
		resp.Body.Close()
		time.Sleep(250 * time.Millisecond)
	}
	return nil
}

// slack is allowed for a row that was on its way when its export was ended.
const slack = time.Second

// judgeRows reads the record: once the export of a later lease has begun to write, no row of an earlier one may come.
// It exits with 1 if one did, and with 2 if there were no two exports.
func judgeRows(args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	var newest uint64
	var since time.Time
	exports, late := 0, 0
	for _, line := range splitLines(string(text)) {
		var at, row string
		var token uint64
		if n, _ := fmt.Sscanf(line, "%s archive: token %d row %s", &at, &token, &row); n != 3 {
			continue
		}
		t, err := time.Parse("15:04:05.000", at)
		if err != nil {
			return err
		}
		switch {
		case token > newest:
			newest, since = token, t
			exports++
		case token < newest && t.Sub(since) > slack:
			late++
		}
	}
	r, err := openRecord(args[0])
	if err != nil {
		return err
	}
	if exports < 2 {
		return fmt.Errorf("%d exports wrote rows, and two are due", exports)
	}
	if late > 0 {
		r.add("BROKEN: %d rows of an earlier holder came over %v after a later holder had begun", late, slack)
		os.Exit(1)
	}
	r.add("held: no row of an earlier holder came once a later one had begun")
	return nil
}
