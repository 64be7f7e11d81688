package statement

import "strings"

// maxKeyword is an upper bound on the length in bytes of the words that lookup knows.
const maxKeyword = 32

// word is an entry of the table of known SQL words.
type word struct {
	// text is the word in lower case.
	text string
	// pure is true for words that may stand before a parenthesis in a read: keywords, types,
	// and built-in functions without side effects.
	pure bool
	// sessionScoped is true for functions whose effect lasts as long as the connection to the
	// target, such as advisory locks. They are refused, as sessions share those connections.
	sessionScoped bool
}

// plainWords are keywords that the classification looks for and that are not pure.
const plainWords = `abort begin chain commit copy create deallocate declare discard end
	execute for global hold insert into isolation key level listen load local lock no
	only prepare prepared read release reset rollback savepoint session set share show
	start temp temporary time to transaction unlisten update work write zone names
	characteristics update delete merge call do`

// pureWords are the words with word.pure.
const pureWords = `all and any as between by case cast distinct else except exists
	filter from group having in intersect is join lateral like ilike limit not offset on
	or order over partition select similar some then union using values when where with
	within array row interval numeric decimal varchar char character bit float
	timestamp timestamptz timetz varying
	abs age avg bool_and bool_or ceil ceiling char_length coalesce concat concat_ws count
	cume_dist current_schema date_part date_trunc dense_rank exp extract first_value floor
	format greatest ifnull initcap instr lag last_value lead least left length ln log lower
	lpad ltrim max md5 min mod now nth_value ntile nullif octet_length overlay
	percent_rank position power printf rank regexp_replace repeat replace reverse right
	round row_number rpad rtrim sign split_part sqrt strftime string_agg strpos substr
	substring sum to_char to_date to_number to_timestamp total translate trim trunc
	upper unnest generate_series array_agg array_length json_agg jsonb_agg json_build_object
	jsonb_build_object json_extract row_to_json to_json to_jsonb version stddev variance
	date julianday datetime typeof hex group_concat`

// sessionScopedFunctions are the words with word.sessionScoped.
const sessionScopedFunctions = `set_config pg_advisory_lock pg_advisory_lock_shared
	pg_try_advisory_lock pg_try_advisory_lock_shared pg_advisory_unlock
	pg_advisory_unlock_shared pg_advisory_unlock_all`

var words = buildWords()

func buildWords() map[string]word {
	all := make(map[string]word)
	for _, text := range strings.Fields(plainWords) {
		all[text] = word{text: text}
	}
	for _, text := range strings.Fields(pureWords) {
		all[text] = word{text: text, pure: true}
	}
	for _, text := range strings.Fields(sessionScopedFunctions) {
		all[text] = word{text: text, sessionScoped: true}
	}
	return all
}

// lookup returns the entry of a word, in upper or lower case, or a zero word if it is not known.
// It does not allocate.
func lookup(text string) word {
	if len(text) > maxKeyword {
		return word{}
	}
	var lower [maxKeyword]byte
	for i := range len(text) {
		c := text[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		lower[i] = c
	}
	return words[string(lower[:len(text)])]
}
