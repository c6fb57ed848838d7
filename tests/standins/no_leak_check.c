/* Stand-ins and tools end with their process; only the product is held to freeing what it takes. */
const char *__asan_default_options(void);

const char *__asan_default_options(void)
{
	return "detect_leaks=0";
}
