use super::*;

#[test]
fn a_thread_that_is_behind_asks_few_of_the_new_but_all_the_silent() {
    let ask = |behind: bool, new: usize, silent: usize| {
        let mut asking = ProbeBudget::new(100, behind);
        let new = (0..new).filter(|_| asking.may(true)).count();
        (new, (0..silent).filter(|_| asking.may(false)).count())
    };
    assert_eq!(ask(false, 300, 50), (100, 0));
    assert_eq!(ask(true, 300, 50), (8, 50));
    assert_eq!(ask(true, 300, 300), (8, 92));
}
